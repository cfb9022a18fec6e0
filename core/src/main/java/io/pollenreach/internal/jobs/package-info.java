/** The stored record of a job and the decisions about its next step. */
package io.pollenreach.internal.jobs;

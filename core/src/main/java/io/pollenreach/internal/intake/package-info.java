/** What a call that hands in a job may tell its caller, decided without a network. */
package io.pollenreach.internal.intake;

/** Which entries and targets live, and which entry a target reports to. */
package io.pollenreach.internal.membership;

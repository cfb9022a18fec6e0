/** What calls that hand in, cancel and count jobs may tell their callers, decided without a network. */
package io.pollenreach.internal.intake;

package org.limpetgate.platform;

/**
 * A record of a log stream.
 *
 * @param offset the position in the stream, which increases by one with each record
 * @param appendTimeNanos when the platform stored it, by the platform's clock, in
 * nanoseconds since the Unix epoch
 * @param payload the content; not to be modified
 */
public record LogRecord(long offset, long appendTimeNanos, byte[] payload) {
}

package org.limpetgate.scheduling;

/**
 * A poll of a worker that is not answered yet. Immutable and thread-safe.
 *
 * @param sentNanos when it was sent, nanoseconds since the Unix epoch
 * @param ackNumber the sequence number up to which it acknowledges ends, 0 for none
 */
record PendingPoll(long sentNanos, long ackNumber) {

}

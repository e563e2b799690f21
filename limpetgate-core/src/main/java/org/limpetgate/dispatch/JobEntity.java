package org.limpetgate.dispatch;

/**
 * What is learned about a job.
 */
final class JobEntity {

	final long number;

	JobEntity(long number) {
		this.number = number;
	}

}

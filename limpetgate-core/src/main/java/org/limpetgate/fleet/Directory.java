package org.limpetgate.fleet;

import java.util.Collection;
import java.util.List;
import java.util.Locale;

import org.limpetgate.HostId;
import org.limpetgate.scheduling.WorkerInfo;

/**
 * Watches the platform's store for changes of the configuration, the workers, the hosts
 * and the drained data centres.
 */
public interface Directory {

	/** An age that is unknown, in place of nanoseconds. */
	long UNKNOWN_AGE = -1;

	/**
	 * Starts to watch the store.
	 * @param listener the listener, called on the thread of the event loop, not null
	 */
	void start(Listener listener);

	/**
	 * Offers a configuration that another host has read from the store.
	 * @param text the configuration in the platform's format, not null
	 */
	void offerConfiguration(byte[] text);

	/**
	 * Returns the newest configuration in the platform's format.
	 * @return the text, null before the first one
	 */
	byte[] configurationText();

	/**
	 * Returns how long ago the store answered the last read of the configuration. A
	 * configuration that was written after that may be unknown to this host.
	 * @return the time in nanoseconds, {@link #UNKNOWN_AGE} before the first answer
	 */
	long configurationAgeNanos();

	/**
	 * Sets how frequently the list of workers is refreshed.
	 * @param scheduling whether this host is the active scheduler
	 */
	void setScheduling(boolean scheduling);

	/**
	 * Reads the list of workers now rather than at the next interval, unless the store
	 * has not answered the last read.
	 */
	void readWorkers();

	/** Where a state comes from. */
	enum Source {

		/** This host has read it from the store. */
		STORE,
		/** Another host has sent it. */
		PEER;

		/**
		 * Returns the name for log lines.
		 * @return the name in lower case, not null
		 */
		public String text() {
			return name().toLowerCase(Locale.ROOT);
		}

	}

	/** Receives changes of the store. */
	interface Listener {

		/**
		 * Handles a newer configuration.
		 * @param table the queues, not null
		 * @param source where it comes from, not null
		 * @param maxAgeNanos how long ago it can have been written at most, in
		 * nanoseconds, or {@link #UNKNOWN_AGE}
		 */
		void configurationChanged(QueueTable table, Source source, long maxAgeNanos);

		/**
		 * Handles the current list of workers.
		 * @param workers the workers, not null
		 */
		void workersListed(Collection<WorkerInfo> workers);

		/**
		 * Handles that the list of workers was read, after {@link #workersListed} if it
		 * has changed. It includes every worker that was registered before the read.
		 * @param ageNanos how long ago the read was sent, in nanoseconds
		 */
		void workersRead(long ageNanos);

		/**
		 * Handles the current list of registered hosts.
		 * @param hosts the hosts, not null
		 */
		void hostsListed(List<HostId> hosts);

		/**
		 * Handles the current drains, before a configuration that was read with them.
		 * @param drains the drained data centres, not null
		 * @param maxAgeNanos how long ago the newest record can have been written at
		 * most, in nanoseconds, or {@link #UNKNOWN_AGE}
		 */
		void drainsChanged(DataCentreDrains drains, long maxAgeNanos);

		/**
		 * Handles a record that names no data centre. Called once while the record
		 * exists.
		 * @param record the key of the record, not null
		 * @param reason why it is ignored, not null
		 */
		void drainRecordIgnored(String record, String reason);

	}

}

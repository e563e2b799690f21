package org.limpetgate.submission;

import java.util.HashMap;
import java.util.Map;

/**
 * The requests without a reply so far, with the bytes of memory that each occupies.
 * <p>
 * Not thread-safe.
 */
final class OpenRequests {

	private final Map<Long, Long> bytesByRequest = new HashMap<>();

	private long bytes;

	void open(long request, long requestBytes) {
		this.bytesByRequest.put(request, requestBytes);
		this.bytes += requestBytes;
	}

	// Returns false if the request is not open.
	boolean close(long request) {
		Long closed = this.bytesByRequest.remove(request);
		if (closed == null) {
			return false;
		}
		this.bytes -= closed;
		return true;
	}

	long bytes() {
		return this.bytes;
	}

	int size() {
		return this.bytesByRequest.size();
	}

}

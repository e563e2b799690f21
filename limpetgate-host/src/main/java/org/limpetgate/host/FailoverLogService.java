package org.limpetgate.host;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;

import org.limpetgate.platform.LogBatch;
import org.limpetgate.platform.LogService;

/**
 * Accesses the platform's log through one of several addresses.
 * <p>
 * After a failure the next call goes to the next address; the failed call itself is not
 * retried, since an append may have been stored. Thread-safe.
 */
final class FailoverLogService implements LogService {

	private final List<LogService> services;

	private final AtomicInteger currentIndex = new AtomicInteger();

	FailoverLogService(List<? extends LogService> services) {
		this.services = List.copyOf(services);
	}

	@Override
	public CompletableFuture<Long> append(String stream, List<byte[]> records) {
		return call((service) -> service.append(stream, records));
	}

	@Override
	public CompletableFuture<LogBatch> read(String stream, long fromOffset, int maxRecords, Duration maxWait) {
		return call((service) -> service.read(stream, fromOffset, maxRecords, maxWait));
	}

	private <T> CompletableFuture<T> call(Function<LogService, CompletableFuture<T>> operation) {
		int index = this.currentIndex.get();
		return operation.apply(this.services.get(index)).whenComplete((result, failure) -> {
			if (failure != null) {
				this.currentIndex.compareAndSet(index, (index + 1) % this.services.size());
			}
		});
	}

}

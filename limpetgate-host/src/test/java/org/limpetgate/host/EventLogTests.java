package org.limpetgate.host;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link EventLog}.
 */
class EventLogTests {

	private static final int PIPE_BYTES = 4096;

	/**
	 * Guards against lines that are split or interleaved: a write that is larger than a
	 * pipe accepts atomically may be split in the middle of a line.
	 */
	@Example
	void linesAreNotSplitAcrossWrites() {
		RecordingStream stream = new RecordingStream();
		try (EventLog log = EventLog.writingTo(stream)) {
			for (int number = 0; number < 3000; number++) {
				log.writeLine("line " + number + " of a large batch");
			}
		}
		StringBuilder text = new StringBuilder();
		for (byte[] write : stream.writes) {
			assertThat(write.length).isLessThanOrEqualTo(PIPE_BYTES);
			assertThat(write[write.length - 1]).isEqualTo((byte) '\n');
			text.append(new String(write, StandardCharsets.UTF_8));
		}
		List<String> lines = text.toString().lines().toList();
		assertThat(lines).hasSize(3000);
		for (int number = 0; number < lines.size(); number++) {
			assertThat(lines.get(number)).endsWith("Z line " + number + " of a large batch");
		}
	}

	/**
	 * Guards against a log that blocks the logging thread, and against lines that are
	 * lost without being counted, while its output is not read.
	 */
	@Example
	void droppedLinesAreCounted() throws InterruptedException {
		CountDownLatch readerReady = new CountDownLatch(1);
		RecordingStream stream = new RecordingStream(readerReady);
		EventLog log = EventLog.writingTo(stream);
		int written = 50_000;
		for (int number = 0; number < written; number++) {
			log.writeLine("line");
		}
		assertThat(log.dropped()).isPositive();
		readerReady.countDown();
		log.close();
		long lines = stream.writes.stream()
			.mapToLong((write) -> new String(write, StandardCharsets.UTF_8).lines().count())
			.sum();
		assertThat(lines + log.dropped()).isEqualTo(written);
	}

	private static final class RecordingStream extends OutputStream {

		private final List<byte[]> writes = new ArrayList<>();

		private final CountDownLatch readerReady;

		RecordingStream() {
			this(new CountDownLatch(0));
		}

		RecordingStream(CountDownLatch readerReady) {
			this.readerReady = readerReady;
		}

		@Override
		public void write(int value) {
			write(new byte[] { (byte) value }, 0, 1);
		}

		@Override
		public void write(byte[] bytes, int from, int length) {
			awaitReader();
			ByteArrayOutputStream copy = new ByteArrayOutputStream();
			copy.write(bytes, from, length);
			this.writes.add(copy.toByteArray());
		}

		// Continues to wait when the log interrupts its writer thread on close.
		private void awaitReader() {
			boolean ready = false;
			while (!ready) {
				try {
					this.readerReady.await();
					ready = true;
				}
				catch (InterruptedException ex) {
					// The reader is not ready yet.
				}
			}
		}

	}

}

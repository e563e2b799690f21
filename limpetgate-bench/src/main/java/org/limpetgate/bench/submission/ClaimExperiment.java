package org.limpetgate.bench.submission;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.TimeUnit;

import org.limpetgate.CallerId;
import org.limpetgate.DataCentreId;
import org.limpetgate.HostId;
import org.limpetgate.Incarnation;
import org.limpetgate.SubmissionKey;
import org.limpetgate.submission.Claim;
import org.limpetgate.submission.ClaimRecord;
import org.limpetgate.submission.ClaimTable;
import org.limpetgate.submission.DataCentres;
import org.limpetgate.submission.KeyHash;
import org.limpetgate.submission.Submission;
import org.limpetgate.submission.SubmissionEffect;
import org.limpetgate.submission.SubmissionSettings;
import org.limpetgate.submission.SubmissionSystem;
import org.limpetgate.submission.SubmittedTask;
import org.limpetgate.submission.TaskResult;
import org.limpetgate.submission.TicketAuthority;
import org.limpetgate.wire.ClaimCodec;

/**
 * Compares the start delay and log usage of claims and tickets at several loads, and
 * measures the memory of claims and of ended jobs.
 */
public final class ClaimExperiment {

	private static final int[] JOBS_PER_SECOND = { 1, 10, 60, 300, 600 };

	private static final int HOSTS = 6;

	private static final int MIN_JOBS = 3000;

	private static final int MIN_SECONDS = 60;

	private static final int FILL_CLAIMS = 540_000;

	private static final int FILL_BATCH = 10;

	private static final int RETAINED_JOBS = 60_000;

	private ClaimExperiment() {
	}

	/**
	 * Runs the experiment.
	 * @param args the seed, 1 if missing
	 */
	public static void main(String[] args) {
		long seed = (args.length > 0) ? Long.parseLong(args[0]) : 1;
		PrintStream out = System.out;
		out.println("| jobs/s | right to start | added p50 ms | added p99 ms | added max ms | appends/s | appends/job"
				+ " | log bytes/claim |");
		out.println("| ---: | --- | ---: | ---: | ---: | ---: | ---: | ---: |");
		for (int load : JOBS_PER_SECOND) {
			int seconds = Math.max(MIN_SECONDS, MIN_JOBS / load);
			for (boolean tickets : new boolean[] { false, true }) {
				out.println(row(new ClaimLoad(seed, HOSTS, tickets), load, tickets, seconds));
			}
		}
		out.println();
		printClaimMemory(out);
		printJobMemory(out);
	}

	private static String row(ClaimLoad run, int load, boolean tickets, int seconds) {
		run.run(load, seconds);
		double appendsPerJob = (double) run.appends() / run.jobs();
		String bytes = (run.claims() > 0) ? String.format(Locale.ROOT, "%.1f", (double) run.logBytes() / run.claims())
				: "-";
		return String.format(Locale.ROOT, "| %d | %s | %.2f | %.2f | %.2f | %.1f | %.3f | %s |", load,
				tickets ? "ticket" : "claim", run.startDelayMillis(50), run.startDelayMillis(99),
				run.startDelayMillis(100), (double) run.appends() / seconds, appendsPerJob, bytes);
	}

	private static void printClaimMemory(PrintStream out) {
		Incarnation holder = Incarnation.of(HostId.of("host1"), 1);
		List<byte[]> payloads = new ArrayList<>();
		long time = TimeUnit.DAYS.toNanos(1);
		for (int i = 0; i < FILL_CLAIMS; i += FILL_BATCH) {
			payloads.add(payload(holder, i, time));
		}
		long before = usedBytes();
		ClaimTable table = new ClaimTable(SubmissionSettings.DEFAULT);
		long offset = 0;
		long start = System.nanoTime();
		for (byte[] payload : payloads) {
			table.apply(new ClaimRecord(offset++, time, ClaimCodec.decode(payload)));
		}
		long elapsed = System.nanoTime() - start;
		long used = usedBytes() - before;
		out.printf(Locale.ROOT,
				"%d claims in memory (600 jobs/s over a horizon of 900 s): %.1f MB, %.0f bytes/claim; "
						+ "decoding and folding took %.0f ns/claim%n",
				table.size(), used / 1e6, (double) used / table.size(), (double) elapsed / table.size());
	}

	private static void printJobMemory(PrintStream out) {
		Incarnation self = Incarnation.of(HostId.of("host1"), 1);
		CallerId caller = CallerId.of("caller");
		long time = TimeUnit.DAYS.toNanos(1);
		long before = usedBytes();
		SubmissionSystem system = new SubmissionSystem(self, dataCentre(), SubmissionSettings.DEFAULT,
				new TicketAuthority(self, ticketSecret()), (submission) -> null, new Random(1));
		SubmittedTask task = SubmittedTask.of("1", "POST", "/work", new byte[0], false);
		long expiry = time + SubmissionSettings.DEFAULT.maxExpiryAheadNanos();
		for (int i = 0; i < RETAINED_JOBS; i++) {
			SubmissionKey key = system.issueTickets(caller, 1, time).get(0).toKey();
			system.submit(i, Submission.of(caller, key, expiry, 1, true, List.of(task)), 0, time);
			system.tick(time, (effect) -> {
				if (effect instanceof SubmissionEffect.StartTasks start) {
					system.taskEnded(start.jobRunNumber(), 0, TaskResult.complete(200, new byte[0]), time);
				}
			});
		}
		system.tick(time + SubmissionSettings.DEFAULT.resultRetentionNanos() + 1, (effect) -> {
		});
		long used = usedBytes() - before;
		out.printf(Locale.ROOT, "%d ended jobs remembered without results: %.1f MB, %.0f bytes/job%n",
				system.counts().jobs(), used / 1e6, (double) used / system.counts().jobs());
	}

	private static byte[] payload(Incarnation holder, int first, long time) {
		List<Claim> claims = new ArrayList<>();
		for (int i = first; i < first + FILL_BATCH; i++) {
			byte[] digest = new byte[KeyHash.BYTES];
			long mixed = i * 0x9e3779b97f4a7c15L;
			for (int b = 0; b < digest.length; b++) {
				digest[b] = (byte) (mixed >>> (8 * (b % 8)));
			}
			claims
				.add(new Claim(KeyHash.ofBytes(digest), mixed >>> 16, holder, time + TimeUnit.SECONDS.toNanos(60), 0));
		}
		return ClaimCodec.encode(holder, claims);
	}

	private static long usedBytes() {
		Runtime runtime = Runtime.getRuntime();
		for (int i = 0; i < 3; i++) {
			System.gc();
		}
		return runtime.totalMemory() - runtime.freeMemory();
	}

	static DataCentres dataCentre() {
		DataCentreId id = DataCentreId.of("dc1");
		return DataCentres.of(id, List.of(id));
	}

	static byte[] ticketSecret() {
		return "a secret for the experiment".getBytes(StandardCharsets.US_ASCII);
	}

}

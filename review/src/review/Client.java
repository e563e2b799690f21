package review;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A client of the system, which speaks to the front address of a machine. */
final class Client {

	/** No answer came. */
	static final int NO_ANSWER = 0;

	private final HttpClient http = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(1))
		.build();

	private final Record record;

	private final String host;

	Client(Record record, String host) {
		this.record = record;
		this.host = host;
	}

	/** The body of a job with steps of equal tasks. */
	static String job(String spec, int count, int cpu, long estimateMillis, boolean bestEffort) {
		Map<String, Object> step = new LinkedHashMap<>();
		step.put("count", count);
		step.put("cpu", cpu);
		step.put("memMb", 64);
		step.put("estDurationMs", estimateMillis);
		Map<String, Object> job = new LinkedHashMap<>();
		job.put("taskSpec", spec);
		job.put("steps", List.of(step));
		if (bestEffort) {
			job.put("bestEffort", true);
		}
		return Json.write(job);
	}

	Answer send(String method, Fleet.Machine machine, String path, String body, long deadlineMillis) {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + machine.front() + path))
			.header("Host", this.host)
			.header("Content-Type", "application/json")
			.header("X-Deadline-Ms", Long.toString(deadlineMillis))
			.timeout(Duration.ofMillis(deadlineMillis))
			.method(method, (body != null) ? HttpRequest.BodyPublishers.ofString(body)
					: HttpRequest.BodyPublishers.noBody())
			.build();
		Answer answer;
		this.record.add("%s %s is sent to %s", method, path, machine.name);
		try {
			HttpResponse<String> response = this.http.send(request, HttpResponse.BodyHandlers.ofString());
			answer = new Answer(response.statusCode(), response.body());
		}
		catch (IOException ex) {
			answer = new Answer(NO_ANSWER, String.valueOf(ex.getMessage()));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			answer = new Answer(NO_ANSWER, "interrupted");
		}
		this.record.add("%s %s at %s is answered %d %s", method, path, machine.name, answer.status(), answer.body());
		return answer;
	}

	boolean isReady(Fleet.Machine machine) {
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + machine.ready() + "/api/ready"))
			.timeout(Duration.ofSeconds(1))
			.build();
		try {
			return this.http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
		}
		catch (IOException ex) {
			return false;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	/** An answer; status 0 if none came. */
	record Answer(int status, String body) {

		String state() {
			return (this.status == 200 && this.body.startsWith("{")) ? (String) Json.object(this.body).get("state") : null;
		}

	}

}

package org.limpetgate.standin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.netty.channel.EventLoopGroup;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.limpetgate.UpstreamId;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RunnerStandIn}.
 */
class RunnerStandInTests {

	private final EventLoopGroup group = StandIns.newEventLoops(2);

	private final StartCounter starts = new StartCounter();

	private final RunnerStandIn runner = RunnerStandIn.start(this.group,
			RunnerSettings.of(UpstreamId.of("r1")).withLimits(2, 60, 3), this.starts);

	private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	@AfterTry
	void close() {
		this.runner.close();
		this.group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
	}

	/**
	 * Guards against a fault that responds or counts a start differently from its
	 * description, which would invalidate the tests that use it.
	 */
	@Example
	void faultsRespondAndCountAsDescribed() {
		assertThat(List.of("{}", "{\"fault\":\"FAIL\"}", "{\"fault\":\"TRUNCATE\",\"share\":1}",
				"{\"fault\":\"CLOSE\",\"share\":1}", "{\"fault\":\"LATE\",\"share\":1,\"delayMillis\":5}",
				"{\"fault\":\"SLOW\",\"share\":1,\"delayMillis\":5}", "{\"leaving\":true}",
				"{\"fault\":\"FAIL\",\"share\":0}"))
			.map(this::outcomeUnder)
			.containsExactly("200 echo 1", "500  1", "IOException 1", "IOException 1", "200 echo 1", "200 echo 1",
					"503 not-run true 0", "200 echo 1");
		assertThat(this.starts.startedTwice()).isEmpty();
	}

	private String outcomeUnder(String faults) {
		Futures.get(send("/faults", "none", "0", faults));
		String id = faults;
		return Futures.get(send("/task", id, "1", "echo").handle((response, error) -> {
			if (error != null) {
				return "IOException " + ((error.getCause() instanceof IOException) ? this.starts.starts(id) : error);
			}
			String text = (response.statusCode() != 503) ? response.body()
					: response.headers().firstValue("Limpetgate-Outcome").orElse("") + " "
							+ response.headers().firstValue("Limpetgate-Leaving").orElse("");
			return response.statusCode() + " " + text + " " + this.starts.starts(id);
		}));
	}

	/**
	 * Guards against more concurrent requests than slots, and against a refused request
	 * that was started.
	 */
	@Example
	void slotsAndQueueAreBounded() {
		Futures.get(send("/faults", "none", "0", "{\"fault\":\"HANG\",\"share\":1}"));
		List<CompletableFuture<HttpResponse<String>>> hanging = IntStream.range(0, 6)
			.mapToObj((i) -> send("/task", "id-" + i, "0", ""))
			.toList();
		HttpResponse<String> refused = Futures
			.get(CompletableFuture.anyOf(hanging.toArray(CompletableFuture[]::new)).thenApply(this::cast));
		assertThat(refused.headers().firstValue("Limpetgate-Outcome")).contains("not-run");
		assertThat(this.runner.peakRunning()).isEqualTo(2);
		assertThat(this.starts.total()).isEqualTo(2);
		this.runner.setFaults(UpstreamFaults.NONE);
	}

	@SuppressWarnings("unchecked")
	private HttpResponse<String> cast(Object response) {
		return (HttpResponse<String>) response;
	}

	/**
	 * Guards against a duplicate start that is not detected.
	 */
	@Example
	void duplicateStartsAreDetected() {
		Futures.get(send("/task", "twice", "0", ""));
		Futures.get(send("/other", "once", "0", ""));
		Futures.get(send("/task", "twice", "0", ""));
		assertThat(this.starts.startedTwice()).containsExactly("twice");
		assertThat(Futures.get(send("/starts", "none", "0", "")).body())
			.isEqualTo("{\"total\":3,\"untracked\":0,\"startedTwice\":[\"twice\"]}");
	}

	private CompletableFuture<HttpResponse<String>> send(String path, String id, String millis, String body) {
		HttpRequest request = HttpRequest
			.newBuilder(URI.create("http://127.0.0.1:" + this.runner.address().getPort() + path))
			.header("X-Request-Id", id)
			.header("X-Run-Millis", millis)
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build();
		return this.client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
	}

}

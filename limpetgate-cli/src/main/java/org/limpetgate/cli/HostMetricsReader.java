package org.limpetgate.cli;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Reads the metrics without labels from the Prometheus endpoint of a host. Thread-safe.
 */
final class HostMetricsReader {

	private static final Duration TIMEOUT = Duration.ofSeconds(3);

	private static final String PREFIX = "limpetgate_";

	private final URI address;

	HostMetricsReader(URI address) {
		this.address = address;
	}

	/**
	 * Reads the current values.
	 * @return the values by metric name, without the {@value #PREFIX} prefix
	 * @throws RequestFailedException if the host cannot be reached or the address serves
	 * no metrics of a host
	 */
	Map<String, Double> read() {
		HttpRequest request = HttpRequest.newBuilder(this.address).timeout(TIMEOUT).build();
		try {
			HttpResponse<String> response = HttpClient.newBuilder()
				.version(HttpClient.Version.HTTP_1_1)
				.connectTimeout(TIMEOUT)
				.build()
				.send(request, HttpResponse.BodyHandlers.ofString());
			Map<String, Double> values = parse(response.body());
			if (response.statusCode() != 200 || values.isEmpty()) {
				throw new RequestFailedException(ExitCodes.REFUSED,
						this.address + " serves no metrics of a host; use the metrics address of its settings");
			}
			return values;
		}
		catch (IOException ex) {
			throw new RequestFailedException(ExitCodes.REFUSED, this.address + " cannot be reached (" + ex
					+ "); check --metrics and that the host is running, or use another host");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new RequestFailedException(ExitCodes.REFUSED, "interrupted; nothing was changed");
		}
	}

	private static Map<String, Double> parse(String text) {
		Map<String, Double> values = new HashMap<>();
		text.lines().filter((line) -> line.startsWith(PREFIX)).forEach((line) -> {
			int space = line.lastIndexOf(' ');
			try {
				values.put(line.substring(PREFIX.length(), space), Double.valueOf(line.substring(space + 1)));
			}
			catch (NumberFormatException ex) {
				// Not a sample line of this format; skipped, so that the other values are
				// still shown.
			}
		});
		return values;
	}

}

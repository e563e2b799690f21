package org.limpetgate.cli;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.google.common.flogger.FluentLogger;
import org.limpetgate.Outcome;
import org.limpetgate.config.ConfigurationTable;
import org.limpetgate.config.TableName;
import org.limpetgate.host.operator.OperatorApi;
import org.limpetgate.host.operator.OperatorSignature;
import org.limpetgate.host.settings.Key;
import org.limpetgate.net.http.HttpCall;

/**
 * HTTP client for the operator API of a host. Requests are signed with the operator's
 * key.
 * <p>
 * An edit whose response is lost is retried with the same edit id, which makes the retry
 * idempotent.
 */
final class OperatorClient {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);

	/**
	 * Longer than the 5 s after which a host reports the result of an edit as unknown.
	 */
	private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);

	private static final int EDIT_ATTEMPTS = 2;

	private static final JsonMapper MAPPER = new JsonMapper();

	private static final FluentLogger log = FluentLogger.forEnclosingClass();

	private final URI endpoint;

	private final Key key;

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(CONNECT_TIMEOUT)
		.build();

	OperatorClient(URI endpoint, Key key) {
		this.endpoint = endpoint;
		this.key = key;
	}

	/**
	 * Sends a GET request.
	 * @param path the path relative to {@link OperatorApi#PREFIX}
	 * @return the response
	 * @throws RequestFailedException if the host refuses or cannot be reached
	 */
	Response get(String path) {
		try {
			return check(send("GET", path, Map.of(), ""), "");
		}
		catch (IOException ex) {
			throw unreachable(ex);
		}
	}

	/**
	 * Edits a row.
	 * @param table the table
	 * @param name the name of the row
	 * @param base the row version that the edit is based on, or
	 * {@link ConfigurationTable#NO_VERSION}
	 * @param row the new row in JSON, empty to remove the row
	 * @return the response to the accepted edit
	 * @throws RequestFailedException if the edit is rejected or its result is unknown
	 */
	Response edit(TableName table, String name, long base, String row) {
		String editId = UUID.randomUUID().toString();
		Map<String, String> headers = new TreeMap<>();
		headers.put(OperatorSignature.EDIT_ID, editId);
		if (base == ConfigurationTable.NO_VERSION) {
			headers.put("if-none-match", "*");
		}
		else {
			headers.put("if-match", "\"" + base + "\"");
		}
		String method = row.isEmpty() ? "DELETE" : "PUT";
		return edit(method, table.text() + "/" + encode(name), headers, row, editId);
	}

	/**
	 * Replaces both tables.
	 * @param tables the new tables in JSON
	 * @return the response to the accepted request
	 * @throws RequestFailedException if the request is rejected or its result is unknown
	 */
	Response reset(String tables) {
		String editId = UUID.randomUUID().toString();
		return edit("PUT", "tables", Map.of(OperatorSignature.EDIT_ID, editId), tables, editId);
	}

	private Response edit(String method, String path, Map<String, String> headers, String row, String editId) {
		boolean maybeApplied = false;
		IOException lastFailure = null;
		for (int attempt = 1; attempt <= EDIT_ATTEMPTS; attempt++) {
			try {
				return check(send(method, path, headers, row), editId);
			}
			catch (ConnectException ex) {
				lastFailure = ex;
			}
			catch (IOException ex) {
				maybeApplied = true;
				lastFailure = ex;
				log.atInfo()
					.log("LG2113 EDIT_SENT_AGAIN no response to edit %s (%s); retrying with the same edit id", editId,
							ex);
			}
		}
		if (!maybeApplied) {
			throw unreachable(lastFailure);
		}
		throw new RequestFailedException(ExitCodes.UNKNOWN,
				"the result of edit " + editId + " is unknown (" + lastFailure
						+ "); look it up with 'limpetgate history --edit " + editId + "' before you repeat the edit");
	}

	private HttpResponse<byte[]> send(String method, String path, Map<String, String> headers, String body)
			throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		HttpCall call = new HttpCall(method, OperatorApi.PREFIX + path, headers, bytes);
		HttpRequest.Builder request = HttpRequest.newBuilder(this.endpoint.resolve(call.target()))
			.timeout(REQUEST_TIMEOUT)
			.method(method, HttpRequest.BodyPublishers.ofByteArray(bytes))
			.header(OperatorSignature.HEADER, OperatorSignature.sign(this.key, call, System.currentTimeMillis()));
		headers.forEach(request::header);
		try {
			return this.client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("interrupted", ex);
		}
	}

	private Response check(HttpResponse<byte[]> response, String editId) throws IOException {
		JsonNode body;
		try {
			body = MAPPER.readTree(response.body());
		}
		catch (JsonProcessingException ex) {
			body = MissingNode.getInstance();
		}
		if (response.statusCode() == 200) {
			return new Response(body, response.headers().firstValue("etag").orElse("").replace("\"", ""));
		}
		String message = body.path("message").asText("the host responded with status " + response.statusCode());
		boolean notRun = body.path("outcome").asText().equals(Outcome.NOT_RUN.text());
		if (editId.isEmpty() || notRun) {
			throw new RequestFailedException(ExitCodes.REFUSED, message);
		}
		throw new RequestFailedException(ExitCodes.UNKNOWN,
				message + System.lineSeparator() + "'limpetgate history --edit " + editId + "' shows the result");
	}

	private RequestFailedException unreachable(IOException cause) {
		return new RequestFailedException(ExitCodes.REFUSED, this.endpoint + " cannot be reached (" + cause
				+ "); check --url and that the host is running, or use another host");
	}

	static String encode(String name) {
		return URLEncoder.encode(name, StandardCharsets.UTF_8).replace("+", "%20");
	}

	/**
	 * A response with status 200.
	 *
	 * @param body the parsed JSON body
	 * @param version the version from the ETag header, empty if there is none
	 */
	record Response(JsonNode body, String version) {
	}

}

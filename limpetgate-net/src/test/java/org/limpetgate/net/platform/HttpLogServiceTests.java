package org.limpetgate.net.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link HttpLogService} with raw responses, including malformed and incomplete
 * ones.
 */
class HttpLogServiceTests {

	private static final List<ResponseCase> RESPONSE_CASES = List.of(
			new ResponseCase("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"offset\":7}", "7"),
			new ResponseCase("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\n{\"offset\":7}\r\n0\r\n\r\n",
					"7"),
			new ResponseCase("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nc\r\n{\"offset\":7}\r\n", "UNKNOWN"),
			new ResponseCase("HTTP/1.1 200 OK\r\n\r\n{\"offset\":7}", "UNKNOWN"),
			new ResponseCase("HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"offset\":7}", "UNKNOWN"),
			new ResponseCase("HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"offset\":-7}", "UNKNOWN"),
			new ResponseCase("HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"offset\":7.5}", "UNKNOWN"),
			new ResponseCase("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "UNKNOWN"),
			new ResponseCase("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "UNKNOWN"),
			new ResponseCase("HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", "UNKNOWN"),
			new ResponseCase("HTTP/1.1 503 Down\r\nContent-Length: 6\r\n\r\n<html>", "UNKNOWN"),
			new ResponseCase("HTTP/1.1 503 Down\r\nLimpetgate-Outcome: failed\r\nContent-Length: 0\r\n\r\n", "UNKNOWN"),
			new ResponseCase("HTTP/1.1 429 Wait\r\nLimpetgate-Outcome: not-run\r\nContent-Length: 0\r\n\r\n",
					"NOT_RUN"),
			new ResponseCase("220 mail.example ESMTP\r\n\r\n", "UNKNOWN"), new ResponseCase("", "UNKNOWN"));

	private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	@AfterTry
	void close() {
		this.group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
	}

	/**
	 * Guards against a malformed, incomplete or error response that is treated as
	 * confirmation that a record was stored, or that nothing was stored.
	 * @throws Exception if the test cannot listen on the loopback address
	 */
	@Example
	void onlyCompleteWellFormedResponsesAreAccepted() throws Exception {
		for (ResponseCase responseCase : RESPONSE_CASES) {
			try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
				CompletableFuture<Void> served = CompletableFuture.runAsync(() -> serve(server, responseCase.response));
				HttpLogService log = HttpLogService.of(this.group, (InetSocketAddress) server.getLocalSocketAddress(),
						PlatformClientSettings.DEFAULT);
				String result = log.append("s", List.of(new byte[1]))
					.handle((offset, error) -> (error != null) ? ((DispatchException) error).outcome().name()
							: offset.toString())
					.get(30, TimeUnit.SECONDS);
				assertThat(result).as(responseCase.response).isEqualTo(responseCase.result);
				log.close();
				served.get(30, TimeUnit.SECONDS);
			}
		}
	}

	/**
	 * Guards against an error whose message names the remedy for another kind of error,
	 * and against a closed client that still sends requests.
	 * @throws Exception if the test cannot listen on the loopback address
	 */
	@Example
	void failuresNameTheRemedyOfTheirKind() throws Exception {
		// A bound socket that does not listen keeps its port from other processes.
		try (Socket refusing = new Socket()) {
			refusing.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
			HttpLogService log = HttpLogService.of(this.group, (InetSocketAddress) refusing.getLocalSocketAddress(),
					PlatformClientSettings.DEFAULT);
			DispatchException unreachable = failure(log);
			assertThat(unreachable.outcome()).isEqualTo(Outcome.NOT_RUN);
			assertThat(unreachable.kind()).isEqualTo(ErrorKind.LOG_UNAVAILABLE);
			assertThat(unreachable).hasMessageEndingWith(ErrorKind.LOG_UNAVAILABLE.remedy())
				.hasMessageNotContaining(ErrorKind.UPSTREAM_FAILED.remedy());
			log.close();
			assertThat(failure(log)).hasMessageStartingWith("the client is closed")
				.extracting(DispatchException::outcome)
				.isEqualTo(Outcome.NOT_RUN);
		}
	}

	private static DispatchException failure(HttpLogService log) throws Exception {
		return log.append("s", List.of(new byte[1]))
			.handle((offset, error) -> (DispatchException) error)
			.get(30, TimeUnit.SECONDS);
	}

	private static void serve(ServerSocket server, String response) {
		try (Socket socket = server.accept(); OutputStream out = socket.getOutputStream()) {
			String request = "";
			while (!request.contains("\r\n\r\n")) {
				request += (char) socket.getInputStream().read();
			}
			socket.getInputStream().readNBytes(2 * Integer.BYTES + 1);
			out.write(response.getBytes(StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * A response and the expected result.
	 *
	 * @param response the response, after which the connection is closed
	 * @param result the offset or the outcome of the failure
	 */
	private record ResponseCase(String response, String result) {
	}

}

package org.limpetgate.cli;

import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;

import org.limpetgate.host.settings.Key;
import picocli.CommandLine.Option;

/**
 * Command-line options for the host's operator endpoint and the operator's key.
 */
final class ConnectionOptions {

	static final String URL_VARIABLE = "LIMPETGATE_URL";

	static final String KEY_FILE_VARIABLE = "LIMPETGATE_KEY_FILE";

	private static final String DEFAULT_URL = "http://127.0.0.1:8081";

	private final Map<String, String> environment;

	@Option(names = "--url", paramLabel = "URL",
			description = "The operator endpoint of a host; default: $LIMPETGATE_URL, else " + DEFAULT_URL)
	private String url;

	@Option(names = "--key-file", paramLabel = "FILE",
			description = "A file that contains the operator's key as ID:SECRET; default: $LIMPETGATE_KEY_FILE")
	private Path keyFile;

	ConnectionOptions(Map<String, String> environment) {
		this.environment = environment;
	}

	OperatorClient createClient() {
		return new OperatorClient(endpoint(), key());
	}

	private URI endpoint() {
		String text = (this.url != null) ? this.url : this.environment.getOrDefault(URL_VARIABLE, DEFAULT_URL);
		try {
			URI uri = URI.create(text);
			if ("http".equals(uri.getScheme()) && uri.getHost() != null) {
				return uri;
			}
		}
		catch (IllegalArgumentException ex) {
			// Not a URI; reported below.
		}
		throw new BadInputException("--url: '" + text + "' is not an endpoint; use for example " + DEFAULT_URL);
	}

	private Key key() {
		String variable = this.environment.get(KEY_FILE_VARIABLE);
		if (this.keyFile == null && variable == null) {
			throw new BadInputException(
					"--key-file: is missing; specify a file that contains an operator's key as ID:SECRET, or set "
							+ KEY_FILE_VARIABLE);
		}
		Path file = (this.keyFile != null) ? this.keyFile : Path.of(variable);
		String text = new String(InputFiles.read(file), StandardCharsets.UTF_8).strip();
		int colon = text.indexOf(':');
		if (colon < 0) {
			throw new BadInputException(file + ": $: has no colon; write the id and the secret as ID:SECRET");
		}
		try {
			return Key.of(text.substring(0, colon), text.substring(colon + 1));
		}
		catch (IllegalArgumentException ex) {
			throw new BadInputException(file + ": $: " + ex.getMessage());
		}
	}

}

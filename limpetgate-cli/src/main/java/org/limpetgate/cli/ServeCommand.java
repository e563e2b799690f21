package org.limpetgate.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.concurrent.CountDownLatch;

import org.limpetgate.ErrorKind;
import org.limpetgate.host.EntryHost;
import org.limpetgate.host.settings.HostSettings;
import org.limpetgate.json.JsonResult;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs an entry host until SIGTERM or SIGINT, then drains it.
 */
@Command(name = "serve", mixinStandardHelpOptions = true,
		description = "Runs an entry host until SIGTERM, then drains it and exits with 0.")
public final class ServeCommand implements CliCommand {

	@Option(names = "--settings", required = true, paramLabel = "FILE", description = "the settings file of the host")
	private Path file;

	@Override
	public Integer call() throws InterruptedException {
		FileTime lastModified = lastModified();
		HostSettings settings = readSettings();
		LogOutput.configure(settings.logFile());
		EntryHost host = EntryHost.start(settings);
		new SettingsWatcher(this.file, lastModified, settings, host::replaceKeys).start();
		printPorts(host);
		awaitShutdown(host);
		return ExitCodes.OK;
	}

	private FileTime lastModified() {
		try {
			return Files.getLastModifiedTime(this.file);
		}
		catch (IOException ex) {
			return null;
		}
	}

	private HostSettings readSettings() {
		try {
			JsonResult<HostSettings> result = HostSettings.read(this.file.toString(), Files.readAllBytes(this.file));
			if (!result.isValid()) {
				throw new BadInputException(result.problemText());
			}
			return result.orThrow(ErrorKind.INVALID_EDIT);
		}
		catch (IOException ex) {
			throw new BadInputException(
					this.file + ": cannot be read: " + ex.getMessage() + "; give the path of a readable file");
		}
	}

	// Scripts parse the ports from this line.
	private static void printPorts(EntryHost host) {
		PrintStream out = System.out;
		out.println("serve listening callers=" + host.callerAddress().getPort() + " operators="
				+ host.operatorAddress().getPort() + " peers=" + host.peerAddress().getPort());
		out.flush();
	}

	/**
	 * Waits for SIGTERM or SIGINT and drains a host. The process then exits with 0,
	 * because the exit code that the JVM uses after a signal would look like a crash.
	 * @param host the host, not null
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void awaitShutdown(EntryHost host) throws InterruptedException {
		Runtime.getRuntime().addShutdownHook(new Thread(() -> {
			host.drain().join();
			LogOutput.flush();
			Runtime.getRuntime().halt(ExitCodes.OK);
		}, "drain"));
		new CountDownLatch(1).await();
	}

}

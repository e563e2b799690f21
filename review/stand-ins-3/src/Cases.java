import java.nio.file.Path;
import java.util.Map;

/** Runs a case: its class, the folder for its record, and whether the disruption comes. */
public final class Cases {

	/** What a case found. */
	enum Result {

		HELD, BROKEN

	}

	interface Case {

		Result run(Fleet fleet, boolean trouble) throws Exception;

	}

	private static final Map<String, Case> CASES = Map.of("11", UnlistedRunner::run, "12",
			StopWithOpenRequests::run, "13", WaitsForBusyRunners::run);

	private Cases() {
	}

	public static void main(String[] arguments) throws Exception {
		System.setProperty("sun.net.httpserver.nodelay", "true");
		System.setProperty("sun.net.httpserver.maxIdleConnections", "2000");
		System.setProperty("sun.net.httpserver.idleInterval", "600");
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int code = 2;
		try (Fleet fleet = new Fleet(Path.of(arguments[1]))) {
			try {
				Result result = CASES.get(arguments[0]).run(fleet, trouble);
				fleet.record.write("RESULT %s", result);
				code = (result == Result.BROKEN) ? 1 : 0;
			}
			catch (Exception ex) {
				fleet.record.write("RESULT the case could not run: %s", ex);
				ex.printStackTrace();
			}
		}
		System.exit(code);
	}

}

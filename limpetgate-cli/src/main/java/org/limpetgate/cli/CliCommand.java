package org.limpetgate.cli;

import java.util.concurrent.Callable;

/**
 * A subcommand of {@code limpetgate}, discovered with {@link java.util.ServiceLoader}.
 * <p>
 * Implementations are annotated with picocli's {@code @Command} and their name, have a
 * public no-argument constructor and are listed in
 * {@code META-INF/services/org.limpetgate.cli.CliCommand}. They return one of the
 * {@link ExitCodes}, and throw {@link BadInputException} for invalid files.
 */
public interface CliCommand extends Callable<Integer> {

}

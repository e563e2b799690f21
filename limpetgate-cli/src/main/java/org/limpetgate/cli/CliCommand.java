package org.limpetgate.cli;

import java.util.concurrent.Callable;

/**
 * A subcommand of {@code limpetgate} that another module provides.
 * <p>
 * Implementations carry picocli's {@code @Command} with their name, have a public
 * constructor without parameters and are listed in
 * {@code META-INF/services/org.limpetgate.cli.CliCommand}. They return one of the
 * {@link ExitCodes}, and throw {@link BadInputException} for faulty files.
 */
public interface CliCommand extends Callable<Integer> {

}

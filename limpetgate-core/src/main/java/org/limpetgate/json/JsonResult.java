package org.limpetgate.json;

import java.util.List;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.limpetgate.DispatchException;
import org.limpetgate.ErrorKind;
import org.limpetgate.Outcome;

/**
 * The value of a JSON document, or all of its problems.
 * <p>
 * There is a value if and only if there are no problems, so that an invalid document is
 * never partially used. Immutable and thread-safe if the value is.
 *
 * @param <T> the type of the value
 */
public final class JsonResult<T> {

	private final T value;

	private final List<JsonProblem> problems;

	private JsonResult(T value, List<JsonProblem> problems) {
		this.value = value;
		this.problems = List.copyOf(problems);
	}

	/**
	 * Returns a result with the value if there are no problems, otherwise with the
	 * problems.
	 * @param <T> the type of the value
	 * @param value the value, ignored if there are problems
	 * @param problems the problems in the order of the document, not null
	 * @return the result, not null
	 */
	public static <T> JsonResult<T> of(T value, List<JsonProblem> problems) {
		return new JsonResult<>(problems.isEmpty() ? value : null, problems);
	}

	/**
	 * Applies a function to the value, if there is one.
	 * @param <U> the type of the new value
	 * @param function the function, not null
	 * @return a result with the same problems, not null
	 */
	public <U> JsonResult<U> map(Function<? super T, ? extends U> function) {
		return new JsonResult<>(isValid() ? function.apply(this.value) : null, this.problems);
	}

	/**
	 * Returns the problems in the order of the document.
	 * @return the problems, empty if there is a value
	 */
	public List<JsonProblem> problems() {
		return this.problems;
	}

	/**
	 * Tests whether there is a value.
	 * @return true if there are no problems
	 */
	public boolean isValid() {
		return this.problems.isEmpty();
	}

	/**
	 * Returns the problems as text, one per line.
	 * @return the text, empty if there are none
	 */
	public String problemText() {
		return this.problems.stream().map(JsonProblem::toString).collect(Collectors.joining("\n"));
	}

	/**
	 * Returns the value.
	 * @param kind the error kind for an invalid document, not null
	 * @return the value, not null
	 * @throws DispatchException if there are problems; the message lists all of them
	 */
	public T orThrow(ErrorKind kind) {
		if (!isValid()) {
			throw DispatchException.of(kind, Outcome.NOT_RUN, problemText());
		}
		return this.value;
	}

}

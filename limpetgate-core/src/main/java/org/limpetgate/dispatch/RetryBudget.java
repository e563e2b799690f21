package org.limpetgate.dispatch;

/**
 * A token bucket that limits the retries and hedges of a pool.
 * <p>
 * Each first attempt adds a fraction of a token, and each retry or hedge withdraws one.
 * The number of tokens is bounded, so that a long period without failures does not permit
 * a retry storm.
 */
final class RetryBudget {

	private static final double INITIAL_TOKENS = 10;

	private static final double MAX_TOKENS = 100;

	private double tokens = INITIAL_TOKENS;

	void deposit(int percent) {
		this.tokens = Math.min(MAX_TOKENS, this.tokens + percent / 100.0);
	}

	double tokens() {
		return this.tokens;
	}

	/**
	 * Withdraws a token unless fewer than the reserve would remain.
	 * @param reserve the number of tokens that must remain
	 * @return true if a token was withdrawn
	 */
	boolean tryWithdraw(double reserve) {
		if (this.tokens < 1 + reserve) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

}

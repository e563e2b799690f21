package org.limpetgate.dispatch;

/**
 * The retries and hedges that a pool may still make.
 * <p>
 * Each first attempt adds a part of a token, each retry or hedge takes one. The bound on
 * saved tokens keeps a long quiet time from paying for a retry storm.
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
	 * Takes a token if there are more left than a reserve.
	 * @param reserve the number of tokens to leave for others
	 * @return true if a token was taken
	 */
	boolean tryWithdraw(double reserve) {
		if (this.tokens < 1 + reserve) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

}

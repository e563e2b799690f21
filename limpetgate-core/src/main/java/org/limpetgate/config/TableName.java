package org.limpetgate.config;

import org.limpetgate.json.JsonObject;

/**
 * The operators' tables.
 */
public enum TableName {

	/** The table that tells which requests go to which pool. */
	ROUTES,

	/** The table of the upstreams. */
	POOLS;

	/**
	 * Returns the form used in URLs, JSON and log records.
	 * @return the text, not null
	 */
	public String text() {
		return JsonObject.textOf(this);
	}

	/**
	 * Parses the form that {@link #text()} gives.
	 * @param text the text, not null
	 * @return the table, not null
	 * @throws IllegalArgumentException if there is no such table
	 */
	public static TableName parse(String text) {
		return JsonObject.constants(TableName.class).apply(text);
	}

}

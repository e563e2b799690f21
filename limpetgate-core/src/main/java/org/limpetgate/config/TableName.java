package org.limpetgate.config;

import org.limpetgate.json.JsonObject;

/**
 * The tables that operators edit.
 */
public enum TableName {

	/** The table that assigns requests to pools. */
	ROUTES,

	/** The table of pools with their upstreams. */
	POOLS;

	/**
	 * Returns the name used in URLs, JSON and log records.
	 * @return the text, not null
	 */
	public String text() {
		return JsonObject.textOf(this);
	}

	/**
	 * Parses a name as returned by {@link #text()}.
	 * @param text the text, not null
	 * @return the table, not null
	 * @throws IllegalArgumentException if there is no such table
	 */
	public static TableName parse(String text) {
		return JsonObject.constants(TableName.class).apply(text);
	}

}

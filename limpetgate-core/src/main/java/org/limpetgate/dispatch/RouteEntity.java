package org.limpetgate.dispatch;

import org.limpetgate.RouteName;

/**
 * What is learned about a route within a pool.
 */
final class RouteEntity {

	final RouteName name;

	RouteEntity(RouteName name) {
		this.name = name;
	}

}

package org.limpetgate.cli;

import picocli.CommandLine.IVersionProvider;

/**
 * Provides the version from the manifest of the JAR file.
 */
final class BuildVersion implements IVersionProvider {

	@Override
	public String[] getVersion() {
		String version = BuildVersion.class.getPackage().getImplementationVersion();
		return new String[] { "limpetgate " + ((version != null) ? version : "development build") };
	}

}

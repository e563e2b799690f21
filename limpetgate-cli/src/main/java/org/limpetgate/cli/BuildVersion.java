package org.limpetgate.cli;

import picocli.CommandLine.IVersionProvider;

/**
 * The version of the program, from the manifest of its archive.
 */
final class BuildVersion implements IVersionProvider {

	@Override
	public String[] getVersion() {
		String version = BuildVersion.class.getPackage().getImplementationVersion();
		return new String[] { "limpetgate " + ((version != null) ? version : "development build") };
	}

}

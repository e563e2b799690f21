/**
 * The JSON form of submissions and their answers.
 */
package org.limpetgate.host.submission;

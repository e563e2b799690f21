/**
 * The JSON representation of submissions and their answers.
 */
package org.limpetgate.host.submission;

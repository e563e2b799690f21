/**
 * Jobs submitted under a key, with their claims, tickets and results. Claims and tickets
 * ensure that only one host starts a job.
 */
package org.limpetgate.submission;

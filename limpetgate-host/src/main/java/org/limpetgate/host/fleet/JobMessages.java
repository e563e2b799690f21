package org.limpetgate.host.fleet;

import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.limpetgate.JobId;
import org.limpetgate.proto.JobResult;
import org.limpetgate.proto.JobStatus;
import org.limpetgate.proto.JobStep;
import org.limpetgate.proto.SubmitJob;
import org.limpetgate.scheduling.Capacity;
import org.limpetgate.scheduling.EarlierSubmission;
import org.limpetgate.scheduling.JobOutcome;
import org.limpetgate.scheduling.JobSpec;
import org.limpetgate.scheduling.JobState;
import org.limpetgate.scheduling.QueueTerms;
import org.limpetgate.scheduling.StepSpec;
import org.limpetgate.scheduling.StepTrait;

/**
 * Converts jobs and results to and from the messages between entry hosts.
 */
final class JobMessages {

	private JobMessages() {
	}

	static SubmitJob.Builder toMessage(JobSpec spec) {
		SubmitJob.Builder message = SubmitJob.newBuilder()
			.setJobId(spec.id().value())
			.setQueue(spec.queue())
			.setService(spec.service())
			.setPriority(spec.terms().priority())
			.setAttempts(spec.terms().attempts())
			.setStretch(spec.terms().stretch())
			.setObjectiveMillis(TimeUnit.NANOSECONDS.toMillis(spec.terms().allowanceNanos()))
			.setPayload(spec.payload())
			.setStored(spec.stored());
		spec.steps().forEach((step) -> message.addSteps(toMessage(step)));
		return message;
	}

	private static JobStep toMessage(StepSpec step) {
		return JobStep.newBuilder()
			.setCount(step.count())
			.setCpuMillis(step.demand().cpuMillis())
			.setMemoryMb(step.demand().memoryMb())
			.setAccelerators(step.demand().accelerators())
			.setEstimatedMillis(TimeUnit.NANOSECONDS.toMillis(step.estimatedNanos()))
			.addAllAfter(step.after())
			.setRequiredLabel(step.requiredLabel())
			.setDataRack(step.dataRack())
			.setMaxPerWorker(step.maxPerWorker())
			.setLatencyTargetMillis(step.latencyTargetMillis())
			.addAllTraits(step.traits()
				.stream()
				.map((trait) -> org.limpetgate.proto.StepTrait.valueOf(trait.name()))
				.sorted()
				.toList())
			.build();
	}

	static JobSpec toSpec(SubmitJob message) {
		QueueTerms terms = new QueueTerms(message.getPriority(), message.getAttempts(), message.getStretch(),
				TimeUnit.MILLISECONDS.toNanos(message.getObjectiveMillis()));
		return new JobSpec(JobId.of(message.getJobId()), message.getQueue(), message.getService(), terms,
				message.getPayload(), message.getStepsList().stream().map(JobMessages::toStep).toList(),
				message.getStored());
	}

	static EarlierSubmission earlierSubmission(SubmitJob message) {
		if (!message.getResubmitted()) {
			return EarlierSubmission.NONE;
		}
		long listAgeNanos = message.hasEarlierListAgeMillis()
				? TimeUnit.MILLISECONDS.toNanos(message.getEarlierListAgeMillis()) : EarlierSubmission.UNKNOWN_AGE;
		return EarlierSubmission.heldFor(TimeUnit.MILLISECONDS.toNanos(message.getHeldMillis()))
			.withListAge(listAgeNanos);
	}

	private static StepSpec toStep(JobStep message) {
		Capacity demand = new Capacity(message.getCpuMillis(), message.getMemoryMb(), message.getAccelerators());
		return new StepSpec(message.getCount(), demand, TimeUnit.MILLISECONDS.toNanos(message.getEstimatedMillis()),
				message.getAfterList(), message.getRequiredLabel(), message.getDataRack(), message.getMaxPerWorker(),
				message.getLatencyTargetMillis(), toTraits(message));
	}

	private static Set<StepTrait> toTraits(JobStep message) {
		Set<StepTrait> traits = EnumSet.noneOf(StepTrait.class);
		for (org.limpetgate.proto.StepTrait trait : message.getTraitsList()) {
			traits.add(StepTrait.valueOf(trait.name()));
		}
		return traits;
	}

	static JobResult toMessage(JobOutcome outcome, String reason, long retryAfterNanos) {
		return JobResult.newBuilder()
			.setState(JobResult.State.valueOf(outcome.name()))
			.setReason(reason)
			.setRetryAfterMillis(TimeUnit.NANOSECONDS.toMillis(retryAfterNanos))
			.build();
	}

	static JobOutcome toOutcome(JobResult result) {
		return switch (result.getState()) {
			case ACCEPTED -> JobOutcome.ACCEPTED;
			case COMPLETED -> JobOutcome.COMPLETED;
			case FAILED -> JobOutcome.FAILED;
			case REFUSED -> JobOutcome.REFUSED;
			case ABANDONED -> JobOutcome.ABANDONED;
			case MOVED, UNSPECIFIED, UNRECOGNIZED -> JobOutcome.MOVED;
		};
	}

	static StoredJobAnswer toAnswer(JobStatus status) {
		return switch (status.getState()) {
			case QUEUED -> StoredJobAnswer.of(JobState.QUEUED);
			case RUNNING -> StoredJobAnswer.of(JobState.RUNNING);
			case COMPLETED -> StoredJobAnswer.of(JobState.COMPLETED);
			case FAILED -> StoredJobAnswer.of(JobState.FAILED);
			case CANCELED -> StoredJobAnswer.of(JobState.CANCELED);
			case UNKNOWN -> StoredJobAnswer.UNKNOWN;
			case UNAVAILABLE, UNRECOGNIZED -> StoredJobAnswer.UNAVAILABLE;
		};
	}

}

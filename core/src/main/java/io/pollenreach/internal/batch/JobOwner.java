package io.pollenreach.internal.batch;

/**
 * Who a job belongs to, or who makes a call.
 *
 * <p>Immutable.
 *
 * @param workspace the workspace whose key was used; empty on an open queue, which needs none
 * @param queue the queue that was called
 */
public record JobOwner(String workspace, String queue) {
    public JobOwner {
        RequiredField.of(workspace, "workspace");
        RequiredField.of(queue, "queue");
    }

    /**
     * Tells whether a caller may see and cancel a job of this owner.
     *
     * <p>A key opens all jobs of its workspace, through whichever queue. Where the job or the call has no workspace, since
     * the queue is or was open, the caller reaches the jobs of that queue.
     */
    public boolean admits(JobOwner caller) {
        boolean keyed = !workspace.isEmpty() && !caller.workspace.isEmpty();
        return keyed ? workspace.equals(caller.workspace) : queue.equals(caller.queue);
    }
}

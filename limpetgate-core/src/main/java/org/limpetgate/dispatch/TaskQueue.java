package org.limpetgate.dispatch;

/**
 * A first-in first-out queue of tasks, as a linked list that removes any task in O(1).
 */
class TaskQueue {

	private TaskEntity head;

	private TaskEntity tail;

	private int size;

	TaskEntity peek() {
		return this.head;
	}

	int size() {
		return this.size;
	}

	void addLast(TaskEntity task) {
		task.queue = this;
		task.previous = this.tail;
		task.next = null;
		if (this.tail == null) {
			this.head = task;
		}
		else {
			this.tail.next = task;
		}
		this.tail = task;
		this.size++;
	}

	void remove(TaskEntity task) {
		if (task.previous == null) {
			this.head = task.next;
		}
		else {
			task.previous.next = task.next;
		}
		if (task.next == null) {
			this.tail = task.previous;
		}
		else {
			task.next.previous = task.previous;
		}
		task.previous = null;
		task.next = null;
		task.queue = null;
		this.size--;
	}

}

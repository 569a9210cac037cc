/*
 * Hand-over of a worker's lease. A worker runs a task under a lease that it
 * renews by polls; a leader that hears no poll declares the worker lost and
 * has the task run elsewhere. Leaders change; the new one has not heard the
 * polls that the old one answered. The task must never run in two places.
 *
 * Time advances in ticks. The worker counts its lease from when it sent the
 * poll; its clock may miss DRIFT ticks of a lease, and a message takes up to
 * FLIGHT ticks. A leader answers polls only within its own leader lease, so
 * the old one has stopped when a new one is elected.
 * Fault: FAULT_NOWAIT, a new leader does not wait a whole lease.
 */
#ifndef LEASE
#define LEASE 4
#endif
#ifndef ELECTIONS
#define ELECTIONS 2
#endif
#define DRIFT  1
#define FLIGHT 1
#define WAIT   (LEASE + DRIFT + FLIGHT)
#define END    (3 * WAIT)

byte now;
byte left = LEASE;	/* of the lease, by the worker's clock */
byte missed;		/* ticks that this lease has lengthened by */
bool running = true;	/* on the worker */
bool elsewhere;		/* assigned to another worker */
byte wait = WAIT;	/* of the leader */
byte elections;

/* A poll on its way to the leader, and the answer on its way back. */
bool poll, answer;
byte poll_age, answer_age;
byte poll_left;	/* what the lease will be if the answer comes now */
byte poll_missed;
bool silent;	/* the worker is partitioned from the leader */

active proctype world()
{
end:	do
	/* A tick passes for all; messages in flight must have arrived. */
	:: atomic { now < END && (!poll || poll_age < FLIGHT) &&
	    (!answer || answer_age < FLIGHT) ->
		now++;
		if :: poll -> poll_age++ :: else fi;
		if :: answer -> answer_age++ :: else fi;
		if :: wait > 0 -> wait-- :: else fi;
		if
		:: running && missed < DRIFT -> missed++
		:: true ->
			if :: left > 0 -> left-- :: else fi;
			if
			:: (poll || answer) && poll_left > 0 -> poll_left--
			:: else
			fi
		fi;
		if :: left == 0 -> running = false :: else fi }
	:: atomic { running && !poll && !answer && now < END ->
		poll = true;
		poll_age = 0;
		poll_left = LEASE;
		poll_missed = 0 }
	:: atomic { poll ->	/* lost, or it reaches the leader */
		poll = false;
		if
		:: true
		:: !silent && !elsewhere ->
			wait = WAIT;
			answer = true;
			answer_age = 0
		fi }
	:: atomic { answer ->
		answer = false;
		if
		:: true
		:: running ->
			left = poll_left;
			missed = poll_missed
		:: else
		fi }
	:: silent = true
	/* A new leader knows the assignment from the log, not the polls. */
	:: atomic { elections < ELECTIONS && now < END ->
		elections++;
		poll = false;
#ifdef FAULT_NOWAIT
		wait = 0
#else
		wait = WAIT
#endif
		}
	:: atomic { wait == 0 && !elsewhere ->
		elsewhere = true;
		assert(!running) }
	od
}

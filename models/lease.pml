/*
 * Expiry of a worker's lease. A worker runs a task under a lease that it
 * renews by polls. A leader that gets no poll declares the worker lost and
 * assigns the task to another worker. A new leader doesn't know which polls
 * the old one has answered. The task must never run in two places at once.
 *
 * Time advances in ticks. The lease runs from the moment at which the worker
 * sent the poll. The worker's clock may lose up to DRIFT ticks in one lease,
 * and a message is up to FLIGHT ticks under way. A leader answers polls only
 * within its own leader lease, so the old one has stopped answering when a
 * new one is elected.
 *
 * Seeded fault: with FAULT_NOWAIT a new leader does not wait a whole lease.
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
byte lease_left = LEASE; /* ticks, by the worker's clock */
byte drift;		/* ticks of this lease that the clock has lost */
bool running = true;	/* the task, on the worker */
bool reassigned;	/* the task is assigned to another worker */
byte leader_wait = WAIT;	/* ticks until the worker is declared lost */
byte elections;

/* A poll on its way to the leader, and the answer on its way back. */
bool poll, answer;
byte poll_age, answer_age;
byte poll_lease_left;	/* lease that the answer gives if it arrives now */
byte poll_drift;
bool partitioned;	/* no poll of the worker reaches the leader */

active proctype system()
{
end:	do
	/* A tick, unless a message is due to arrive before. */
	:: atomic { now < END && (!poll || poll_age < FLIGHT) &&
	    (!answer || answer_age < FLIGHT) ->
		now++;
		if :: poll -> poll_age++ :: else fi;
		if :: answer -> answer_age++ :: else fi;
		if :: leader_wait > 0 -> leader_wait-- :: else fi;
		if
		:: running && drift < DRIFT -> drift++
		:: true ->
			if :: lease_left > 0 -> lease_left-- :: else fi;
			if
			:: (poll || answer) && poll_lease_left > 0 ->
				poll_lease_left--
			:: else
			fi
		fi;
		if :: lease_left == 0 -> running = false :: else fi }
	:: atomic { running && !poll && !answer && now < END ->
		poll = true;
		poll_age = 0;
		poll_lease_left = LEASE;
		poll_drift = 0 }
	:: atomic { poll ->	/* it is lost or reaches the leader */
		poll = false;
		if
		:: true
		:: !partitioned && !reassigned ->
			leader_wait = WAIT;
			answer = true;
			answer_age = 0
		fi }
	:: atomic { answer ->
		answer = false;
		if
		:: true
		:: running ->
			lease_left = poll_lease_left;
			drift = poll_drift
		:: else
		fi }
	:: partitioned = true
	/* A new leader knows the assignment from the log but no polls. */
	:: atomic { elections < ELECTIONS && now < END ->
		elections++;
		poll = false;
#ifdef FAULT_NOWAIT
		leader_wait = 0
#else
		leader_wait = WAIT
#endif
		}
	:: atomic { leader_wait == 0 && !reassigned ->
		reassigned = true;
		assert(!running) }
	od
}

/*
 * The replicated log: election, replication, commit, restart from disk, one
 * lost disk, one membership change. A step is one message handled, together
 * with the write that has to precede its answer; so messages are lost,
 * delayed and reordered in all ways that keep one step whole.
 *
 * Replicas 0 to 2 are the first voters, replica 3 is the newcomer. An entry
 * is its term, plus CONF for the entry that makes the newcomer a voter.
 *
 * Bounds: MAXTERM terms, MAXLOG entries, MAXCRASH restarts.
 * Faults, one at a time:
 *   FAULT_VOTE      the vote is not on disk when a replica restarts
 *   FAULT_OLDTERM   entries of an older term are committed by counting
 *   FAULT_NEWCOMER  a replica that lost its disk votes before it has caught up
 */
#ifndef MAXTERM
#define MAXTERM 3
#endif
#ifndef MAXLOG
#define MAXLOG 2
#endif
#ifndef MAXCRASH
#define MAXCRASH 1
#endif

#define N	4
#define NEW	3
#define CONF	8
#define TERM(e) ((e) & 7)

typedef Replica {
	byte term;
	byte vote;	/* replica + 1 */
	byte log[MAXLOG];
	byte size;
	byte granted;	/* bits; candidate only */
	byte match[N];	/* leader only */
	bool candidate;
	bool leader;
};

Replica r[N];
byte leader_of[MAXTERM + 1];	/* replica + 1 */
byte committed[MAXLOG];
byte committed_in[MAXLOG];	/* term of the leader that did */
byte ncommitted;
byte crashes;
bool lost;	/* replica 2 has lost its disk */

/* Set by the inline steps; no state of the system. */
hidden byte k, n, votes, voters, lt;
hidden byte fine, change;

/* The newcomer is a voter for a replica that has the entry in its log. */
inline has_conf(i) {
	change = false;
	k = 0;
	do
	:: k < r[i].size -> change = change || r[i].log[k] >= CONF; k++
	:: else -> break
	od
}

inline count(i, bits) {
	has_conf(i);
	voters = (change -> 4 : 3);
	votes = (bits & 1) + ((bits >> 1) & 1) + ((bits >> 2) & 1) +
	    (change -> (bits >> 3) & 1 : 0)
}

inline last_term(i) {
	if
	:: r[i].size > 0 -> lt = TERM(r[i].log[r[i].size - 1])
	:: else -> lt = 0
	fi
}

inline set_term(x, new) {
	r[x].term = new;
	r[x].vote = 0;
	r[x].candidate = false;
	r[x].leader = false;
	r[x].granted = 0
}

inline campaign(i) {
	set_term(i, r[i].term + 1);
	r[i].vote = i + 1;
	r[i].candidate = true;
	r[i].granted = 1 << i
}

/* j answers a vote request of i. */
inline grant(i, j) {
	if
	:: r[j].term < r[i].term -> set_term(j, r[i].term)
	:: else
	fi;
	last_term(i);
	n = lt;
	last_term(j);
	if
	:: (r[j].vote == 0 || r[j].vote == i + 1) &&
	    (n > lt || (n == lt && r[i].size >= r[j].size)) ->
		r[j].vote = i + 1;
		r[i].granted = r[i].granted | (1 << j)
	:: else
	fi
}

inline win(i) {
	assert(leader_of[r[i].term] == 0 || leader_of[r[i].term] == i + 1);
	leader_of[r[i].term] = i + 1;
	r[i].candidate = false;
	r[i].granted = 0;
	r[i].leader = true;
	k = 0;
	do
	:: k < N -> r[i].match[k] = (k == i -> r[i].size : 0); k++
	:: else -> break
	od;
	/* Whatever was accepted is in the log of every later leader. One of
	 * an earlier term may be elected late; it cannot commit anything. */
	k = 0;
	do
	:: k < ncommitted ->
		assert(committed_in[k] >= r[i].term ||
		    (k < r[i].size && r[i].log[k] == committed[k]));
		k++
	:: else -> break
	od;
	k = 0
}

inline append(i, e) {
	r[i].log[r[i].size] = e;
	r[i].size++;
	r[i].match[i] = r[i].size
}

/* j takes the first entry in which it differs from leader i. */
inline replicate(i, j) {
	if
	:: r[j].term < r[i].term -> set_term(j, r[i].term)
	:: else
	fi;
	r[j].candidate = false;
	r[j].granted = 0;
	n = 0;
	do
	:: n < r[i].size && n < r[j].size && r[i].log[n] == r[j].log[n] -> n++
	:: else -> break
	od;
	if
	:: n < r[i].size ->
		r[j].size = n;
		r[j].log[n] = r[i].log[n];
		r[j].size++;
		n++
	:: else
	fi;
	k = n;
	do	/* what is cut has no influence any more */
	:: k < MAXLOG -> if :: k >= r[j].size -> r[j].log[k] = 0 :: else fi; k++
	:: else -> break
	od;
	r[i].match[j] = n
}

/* Leader i commits all entries up to size c. */
inline commit(i, c) {
	n = 0;
	k = 0;
	do
	:: k < N ->
		if
		:: r[i].match[k] >= c -> n = n | (1 << k)
		:: else
		fi;
		k++
	:: else -> break
	od;
	count(i, n);
	fine = votes * 2 > voters;
#ifndef FAULT_OLDTERM
	fine = fine && TERM(r[i].log[c - 1]) == r[i].term;
#endif
	if
	:: fine ->
		k = 0;
		do
		:: k < c ->
			assert(k >= ncommitted ||
			    committed[k] == r[i].log[k]);
			committed[k] = r[i].log[k];
			if
			:: k >= ncommitted -> committed_in[k] = r[i].term
			:: else
			fi;
			k++
		:: else -> break
		od;
		if
		:: c > ncommitted -> ncommitted = c
		:: else
		fi
	:: else
	fi;
	k = 0;
	n = 0
}

inline restart(i) {
	crashes++;
	r[i].leader = false;
	r[i].candidate = false;
	r[i].granted = 0;
#ifdef FAULT_VOTE
	r[i].vote = 0
#endif
}

/* Replica 2 returns with an empty disk. It has a new id then, so the old one
 * takes no further part; with the fault it votes on under the old id. */
inline lose_disk() {
	lost = true;
	set_term(2, 0);
	r[2].size = 0;
	k = 0;
	do
	:: k < MAXLOG -> r[2].log[k] = 0; k++
	:: else -> break
	od;
	k = 0
}

#ifdef FAULT_NEWCOMER
#define ALIVE(i) true
#else
#define ALIVE(i) ((i) != 2 || !lost)
#endif

/* A replica stands for election only as a voter of its own list. */
#define STANDS(i) ((i) != NEW || change)

proctype replica(byte i)
{
	byte j;

end:	do
	:: atomic { ALIVE(i) && !r[i].leader && r[i].term < MAXTERM ->
		has_conf(i);
		if
		:: STANDS(i) -> campaign(i)
		:: else
		fi;
		k = 0 }
	:: atomic { ALIVE(i) && r[i].candidate ->
		if
		:: j = 0
		:: j = 1
		:: j = 2
		:: j = 3
		fi;
		if
		:: j != i && ALIVE(j) && r[j].term <= r[i].term &&
		    !(r[j].leader && r[j].term == r[i].term) -> grant(i, j)
		:: else
		fi;
		count(i, r[i].granted);
		if
		:: votes * 2 > voters -> win(i)
		:: else
		fi;
		j = 0; k = 0; n = 0 }
	:: atomic { ALIVE(i) && r[i].leader && r[i].size < MAXLOG ->
		append(i, r[i].term) }
#ifdef MEMBERS
	/* One change, after an entry of the own term is committed and the
	 * newcomer holds all that is. */
	:: atomic { ALIVE(i) && r[i].leader && r[i].size < MAXLOG &&
	    ncommitted > 0 && r[i].size >= ncommitted &&
	    r[i].log[ncommitted - 1] == r[i].term &&
	    r[i].match[NEW] >= ncommitted ->
		has_conf(i);
		if
		:: !change -> append(i, r[i].term + CONF)
		:: else
		fi;
		k = 0 }
#endif
	:: atomic { ALIVE(i) && r[i].leader ->
		if
		:: j = 0
		:: j = 1
		:: j = 2
#ifdef MEMBERS
		:: j = 3
#endif
		fi;
		if
		:: j != i && ALIVE(j) && r[j].term <= r[i].term ->
			replicate(i, j)
		:: else
		fi;
		j = 0; k = 0; n = 0 }
	:: atomic { ALIVE(i) && r[i].leader && ncommitted < r[i].size ->
		commit(i, ncommitted + 1) }
	:: atomic { ALIVE(i) && r[i].leader && ncommitted + 1 < r[i].size ->
		commit(i, ncommitted + 2) }
	:: atomic { ALIVE(i) && crashes < MAXCRASH -> restart(i) }
	:: atomic { i == 2 && LOSABLE && !lost -> lose_disk() }
	od
}

init {
	atomic {
		run replica(0);
		run replica(1);
		run replica(2);
#ifdef MEMBERS
		run replica(NEW)
#endif
	}
}

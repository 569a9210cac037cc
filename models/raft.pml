/*
 * The replicated log: elections, replication, commit, restart from disk, one
 * lost disk and one membership change. A step handles one message, together
 * with the disk write that must precede its answer. So messages are lost,
 * delayed and reordered in every way that keeps the steps atomic.
 *
 * Replicas 0 to 2 are the initial voters, replica 3 is the newcomer. An entry
 * is represented by its term, plus CONF if it makes the newcomer a voter.
 *
 * Bounds: MAXTERM terms, MAXLOG entries, MAXCRASH restarts. With LOSABLE the
 * disk of replica 2 may be lost, with MEMBERS the newcomer may be added.
 * Seeded faults, one at a time:
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
	byte vote;	/* replica + 1, 0 is none */
	byte log[MAXLOG];
	byte size;
	byte granted;	/* bit set of replicas; candidate only */
	byte match[N];	/* entries equal to the leader's; leader only */
	bool candidate;
	bool leader;
};

Replica r[N];
byte leader_of[MAXTERM + 1];	/* by term: replica + 1, 0 is none */
byte committed[MAXLOG];
byte committed_in[MAXLOG];	/* term of the leader that committed it */
byte commit_size;
byte crashes;
bool disk_lost;	/* replica 2 has lost its disk */

/* Temporary variables and results of the inline steps; hidden, so that they are
 * not part of the state. */
hidden byte k, n, votes, voters, last_term;
hidden byte may_commit, newcomer_votes;

/* Sets newcomer_votes. A replica counts the newcomer as a voter once it has the
 * entry in its log, committed or not. */
inline check_newcomer(i) {
	newcomer_votes = false;
	k = 0;
	do
	:: k < r[i].size ->
		newcomer_votes = newcomer_votes || r[i].log[k] >= CONF;
		k++
	:: else -> break
	od
}

/* Sets voters, as replica i knows them, and votes, those of them in bits. */
inline count_votes(i, bits) {
	check_newcomer(i);
	voters = (newcomer_votes -> 4 : 3);
	votes = (bits & 1) + ((bits >> 1) & 1) + ((bits >> 2) & 1) +
	    (newcomer_votes -> (bits >> 3) & 1 : 0)
}

/* Sets last_term, the term of the last entry of replica i. */
inline read_last_term(i) {
	if
	:: r[i].size > 0 -> last_term = TERM(r[i].log[r[i].size - 1])
	:: else -> last_term = 0
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

/* Replica j answers a vote request of replica i. */
inline answer_vote_request(i, j) {
	if
	:: r[j].term < r[i].term -> set_term(j, r[i].term)
	:: else
	fi;
	read_last_term(i);
	n = last_term;
	read_last_term(j);
	if
	:: (r[j].vote == 0 || r[j].vote == i + 1) &&
	    (n > last_term || (n == last_term && r[i].size >= r[j].size)) ->
		r[j].vote = i + 1;
		r[i].granted = r[i].granted | (1 << j)
	:: else
	fi
}

inline become_leader(i) {
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
	/* Every committed entry is in the log of every leader of a later term.
	 * A leader of an earlier term may win its election afterwards; it
	 * can't commit anything. */
	k = 0;
	do
	:: k < commit_size ->
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

/* Replica j takes over the first entry in which it differs from leader i. */
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
	do	/* removed entries are cleared, which merges equal states */
	:: k < MAXLOG -> if :: k >= r[j].size -> r[j].log[k] = 0 :: else fi; k++
	:: else -> break
	od;
	r[i].match[j] = n
}

/* Leader i commits its first c entries if a majority has them. */
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
	count_votes(i, n);
	may_commit = votes * 2 > voters;
#ifndef FAULT_OLDTERM
	may_commit = may_commit && TERM(r[i].log[c - 1]) == r[i].term;
#endif
	if
	:: may_commit ->
		k = 0;
		do
		:: k < c ->
			assert(k >= commit_size ||
			    committed[k] == r[i].log[k]);
			committed[k] = r[i].log[k];
			if
			:: k >= commit_size -> committed_in[k] = r[i].term
			:: else
			fi;
			k++
		:: else -> break
		od;
		if
		:: c > commit_size -> commit_size = c
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

/* Replica 2 loses its disk. It would return under a new id, so the old id takes
 * no further part; with FAULT_NEWCOMER it goes on voting under the old id. */
inline lose_disk() {
	disk_lost = true;
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
#define ALIVE(i) ((i) != 2 || !disk_lost)
#endif

/* A replica is a candidate only if its own log makes it a voter. */
#define CAN_BE_CANDIDATE(i) ((i) != NEW || newcomer_votes)

proctype replica(byte i)
{
	byte j;

end:	do
	:: atomic { ALIVE(i) && !r[i].leader && r[i].term < MAXTERM ->
		check_newcomer(i);
		if
		:: CAN_BE_CANDIDATE(i) -> campaign(i)
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
		    !(r[j].leader && r[j].term == r[i].term) ->
			answer_vote_request(i, j)
		:: else
		fi;
		count_votes(i, r[i].granted);
		if
		:: votes * 2 > voters -> become_leader(i)
		:: else
		fi;
		j = 0; k = 0; n = 0 }
	:: atomic { ALIVE(i) && r[i].leader && r[i].size < MAXLOG ->
		append(i, r[i].term) }
#ifdef MEMBERS
	/* One membership change, after an entry of the leader's own term is
	 * committed and once the newcomer has all committed entries. */
	:: atomic { ALIVE(i) && r[i].leader && r[i].size < MAXLOG &&
	    commit_size > 0 && r[i].size >= commit_size &&
	    r[i].log[commit_size - 1] == r[i].term &&
	    r[i].match[NEW] >= commit_size ->
		check_newcomer(i);
		if
		:: !newcomer_votes -> append(i, r[i].term + CONF)
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
	:: atomic { ALIVE(i) && r[i].leader && commit_size < r[i].size ->
		commit(i, commit_size + 1) }
	:: atomic { ALIVE(i) && r[i].leader && commit_size + 1 < r[i].size ->
		commit(i, commit_size + 2) }
	:: atomic { ALIVE(i) && crashes < MAXCRASH -> restart(i) }
	:: atomic { i == 2 && LOSABLE && !disk_lost -> lose_disk() }
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

/* Lets a test set the time of day that this process sees. */
#ifndef NODE_TESTS_WALL_CLOCK_H
#define NODE_TESTS_WALL_CLOCK_H

#include <cstdint>

/* Added to the time of day that gettimeofday returns, in ms. */
extern int64_t wall_clock_offset_ms;

/* Sets the time of day back for as long as it exists. */
struct WallClockSetBack {
	explicit WallClockSetBack(int64_t ms)
	{
		wall_clock_offset_ms = -ms;
	}
	~WallClockSetBack()
	{
		wall_clock_offset_ms = 0;
	}
};

#endif

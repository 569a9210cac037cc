#include <gtest/gtest.h>

#include <cstring>
#include <vector>

#include "base/crc.h"
#include "base/rng.h"
#include "node/frame.h"

static std::vector<uint8_t>
make_frame(enum frame_type type, const std::vector<uint8_t> &payload)
{
	std::vector<uint8_t> f(FRAME_HEADER_BYTES);
	frame_write_header(f.data(), type, payload.data(), payload.size());
	f.insert(f.end(), payload.begin(), payload.end());
	return f;
}

static enum frame_fault
parse(const std::vector<uint8_t> &b, struct frame *f)
{
	return frame_parse(str_mem(b.data(), b.size()), f);
}

/* Guards against a CRC-32C that differs from the standard one. */
TEST(Frame, CrcMatchesTheStandardCheckValue)
{
	EXPECT_EQ(0xE3069283u, crc32c(0, "123456789", 9));
	EXPECT_EQ(0u, crc32c(0, "", 0));
}

/* Guards against accepting a frame in which a single bit has changed. */
TEST(Frame, EveryFlippedBitIsDetected)
{
	std::vector<uint8_t> good = make_frame(FRAME_MSG, { 1, 2, 3, 4, 5 });
	struct frame f;
	ASSERT_EQ(FRAME_OK, parse(good, &f));
	EXPECT_EQ(good.size(), f.size);
	for (size_t bit = 0; bit < good.size() * 8; bit++) {
		std::vector<uint8_t> b = good;
		b[bit / 8] ^= (uint8_t)(1 << (bit % 8));
		/* The type may change to another valid one: not in the CRC. */
		if (bit / 8 == 3 && parse(b, &f) == FRAME_OK)
			continue;
		EXPECT_NE(FRAME_OK, parse(b, &f)) << "bit " << bit;
	}
}

/* Guards against waiting for a payload whose length is over the limit. */
TEST(Frame, WrongLengthIsDetectedInTheHeader)
{
	std::vector<uint8_t> b = make_frame(FRAME_MSG, {});
	struct frame f;
	b[4] = 0x00;
	b[5] = 0x40;
	b[7] = 0x01;
	EXPECT_EQ(FRAME_BAD_LENGTH, parse(b, &f));
	b = make_frame(FRAME_HEARTBEAT, { 1 });
	EXPECT_EQ(FRAME_BAD_LENGTH, parse(b, &f));
}

/* Guards against reading past the end, and against a result that changes when
 * more bytes arrive. */
TEST(Frame, FuzzedPrefixesAreStable)
{
	struct rng r;
	rng_init(&r, 20260101);
	for (int round = 0; round < 20000; round++) {
		std::vector<uint8_t> payload(rng_below(&r, 64));
		for (auto &c : payload)
			c = (uint8_t)rng_next(&r);
		std::vector<uint8_t> b = make_frame(FRAME_MSG, payload);
		size_t changes = rng_below(&r, 3);
		for (size_t i = 0; i < changes; i++)
			b[rng_below(&r, b.size())] = (uint8_t)rng_next(&r);
		size_t cut = rng_below(&r, b.size() + 1);
		/* An exact copy, so that a sanitizer detects a read past it. */
		std::vector<uint8_t> head(b.begin(), b.begin() + (long)cut);
		struct frame f, g;
		enum frame_fault first = parse(head, &f);
		enum frame_fault whole = parse(b, &g);
		if (first != FRAME_INCOMPLETE) {
			ASSERT_EQ(first, whole) << "round " << round;
		}
		if (whole == FRAME_OK) {
			ASSERT_LE(g.size, b.size());
		}
	}
}

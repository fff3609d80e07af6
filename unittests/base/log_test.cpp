// Logs that neither stall a process nor drown what matters.

#include "cassia/base/line_budget.h"
#include "cassia/base/line_writer.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <array>
#include <string>

using namespace cassia;

namespace {

const instant start = instant(std::chrono::seconds(1000));

std::string read_all(int descriptor, std::size_t most) {
    std::string text(most, ' ');
    const ssize_t got = ::read(descriptor, text.data(), most);
    text.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
    return text;
}

} // namespace

// Story: callers wait for seconds though every endpoint is idle. The collector of logs hangs, the
// pipe is full, and the gateway stands still in the middle of writing a line.
TEST_CASE("a log that nobody reads stalls nobody", "[log]") {
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    line_writer writer(ends[1]);
    const std::string line(1000, 'x');
    for (int i = 0; i < 1000; ++i)
        writer.write(line, line_rank::usual);
    CHECK(writer.dropped() > 500);

    const std::uint64_t dropped = writer.dropped();
    writer.write("event=failed", line_rank::failure);
    CHECK(writer.dropped() == dropped);

    std::string seen;
    for (int i = 0; i < 200; ++i) {
        seen += read_all(ends[0], 65536);
        writer.write("event=later", line_rank::failure);
    }
    CHECK(seen.find("event=failed\n") != std::string::npos);
    CHECK(seen.find("event=log_lines_dropped count=" + std::to_string(dropped)) !=
          std::string::npos);
    CHECK(seen.find(line + "\n") == 0);
    ::close(ends[0]);
    ::close(ends[1]);
}

// Story: under overload the gateways write as many lines as requests and have less time for these;
// what failed is lost among what went well.
TEST_CASE("too many lines of one kind are folded into their count", "[log]") {
    line_budget budget;
    int written = 0;
    for (int i = 0; i < 1000; ++i)
        written += budget.take(log_level::info, "request_ended", start) ? 1 : 0;
    CHECK(written == 200);
    CHECK(budget.take(log_level::warning, "request_ended", start));
    CHECK(budget.take(log_level::info, "leader_changed", start));
    CHECK(budget.folded(start + milliseconds(900)).empty());
    const std::vector<folded_lines> folded = budget.folded(start + milliseconds(1000));
    REQUIRE(folded.size() == 1);
    CHECK(folded[0].event == "request_ended");
    CHECK(folded[0].count == 800);
    CHECK(budget.folded(start + milliseconds(1000)).empty());
    CHECK(budget.take(log_level::info, "request_ended", start + milliseconds(1000)));
}

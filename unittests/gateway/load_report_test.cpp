// The load that endpoints report with their responses.

#include "cassia/gateway/load_report.h"

#include <catch2/catch.hpp>

#include <string>

using namespace cassia;
using gateway::read_load_report;

TEST_CASE("load reports have three or four fields", "[load_report]") {
    CHECK(read_load_report("3,1,8") == policy::load_report{3, 1, 8, std::nullopt});
    CHECK(read_load_report("3, 1, 8, 250") == policy::load_report{3, 1, 8, 250});
    CHECK(read_load_report(" 3.0,0,8\t,99.5 ") == policy::load_report{3, 0, 8, 99.5});
    CHECK(read_load_report("0,0,8,1")->pace_percent == 1);
    CHECK(read_load_report("0,0,8,10000")->pace_percent == 10000);
}

// Guards against malformed headers that read as a load, such as a pace of zero or infinity.
TEST_CASE("malformed load reports are ignored", "[load_report]") {
    for (const char* text : {"",
                             ",",
                             ",,",
                             "3",
                             "3,1",
                             "3,1,",
                             "3,1,8,",
                             "3,1,8,100,",
                             "3,1,8,100,5",
                             "a,1,8",
                             "3,1,8,x",
                             "-1,1,8",
                             "3,-1,8,100",
                             "3,1,8,-100",
                             "3,1,8,0",
                             "3,1,8,0.5",
                             "3,1,8,10000.1",
                             "3,1,8,nan",
                             "3,1,8,inf",
                             "inf,1,8",
                             "3,1,8,1e2",
                             "0x3,1,8",
                             "3;1;8",
                             "3 1 8",
                             "3,1 2,8",
                             "+3,1,8",
                             "99999999999,1,8",
                             "3,1,8,100\n",
                             "-0,1,8"}) {
        INFO(text);
        CHECK_FALSE(read_load_report(text));
    }
    CHECK_FALSE(read_load_report(std::string("3,1,8\0", 6)));
    CHECK_FALSE(read_load_report(std::string(100000, '1')));
    CHECK_FALSE(read_load_report(std::string(100000, ',')));
}

/// Records of endpoints that are out of all bounds.
#pragma once

#include "cassia/schema/messages.pb.h"

#include <functional>
#include <string>
#include <vector>

namespace cassia::membership {

inline schema::endpoint_record make_sound_record(const std::string& id, int port) {
    schema::endpoint_record record;
    record.set_id(id);
    record.set_incarnation(1780000000000);
    record.set_sequence(5);
    record.set_address("10.0.0.1:" + std::to_string(port));
    record.set_service("llm");
    record.set_zone("z1");
    record.set_software_version("v1");
    record.set_max_running(8);
    return record;
}

/// What makes a record one that names no endpoint to use. Those whose bytes no reader can parse
/// aren't among them.
inline std::vector<std::function<void(schema::endpoint_record&)>> oddities() {
    using record = schema::endpoint_record;
    const std::string long_name(100000, 'n');
    std::vector<std::function<void(record&)>> out = {
        [](record& odd) { odd.set_id(""); },
        [](record& odd) { odd.set_id(std::string("i\0001", 3)); },
        [](record& odd) { odd.set_id("i-1\n"); },
        [long_name](record& odd) { odd.set_id(long_name); },
        [long_name](record& odd) { odd.set_zone(long_name); },
        [long_name](record& odd) { odd.set_service(long_name); },
        [long_name](record& odd) { odd.set_software_version(long_name); },
        [](record& odd) { odd.set_software_version(std::string("v\0", 2)); },
        [long_name](record& odd) { odd.add_models()->set_model(long_name); },
        [long_name](record& odd) { odd.add_models()->add_adapters(long_name); },
        [](record& odd) { odd.set_max_running(65536); },
        [](record& odd) { odd.set_max_running(4294967295U); },
        [](record& odd) { odd.set_cold_ms(4294967295U); },
        [](record& odd) { odd.set_sequence((1ULL << 53U) + 1); },
        [](record& odd) { odd.set_sequence(UINT64_MAX); },
        [](record& odd) { odd.set_incarnation((1ULL << 53U) + 1); },
        [](record& odd) { odd.set_incarnation(UINT64_MAX); },
        [](record& odd) { odd.mutable_load()->set_running(4294967295U); },
        [](record& odd) { odd.mutable_load()->set_waiting(4294967295U); },
    };
    for (const char* address :
         {"", "nowhere", "10.0.0.9", "10.0.0.9:", ":80", "10.0.0.9:0", "10.0.0.9:65536",
          "10.0.0.9:70000", "10.0.0.9:-1", "10.0.0.9:18446744073709551696", "10.0.0.9:80 ",
          "0.0.0.0:80", "255.255.255.255:80", "224.0.0.1:80", "fe80::1%lo:80", "host:80"})
        out.push_back([address](record& odd) { odd.set_address(address); });
    return out;
}

} // namespace cassia::membership

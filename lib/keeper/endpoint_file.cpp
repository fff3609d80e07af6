#include "cassia/keeper/endpoint_file.h"

#include "cassia/membership/endpoint_bounds.h"
#include "cassia/schema/readable_endpoints.h"

namespace cassia::keeper {

namespace {
// Live endpoints announce themselves about once a second, and gateways trust an announcement for
// 3 s. An age of 1 s leaves a live endpoint 2 s to announce itself.
constexpr milliseconds restored_age(1000);
} // namespace

std::string encode_endpoints(const membership::endpoint_directory& directory, instant now,
                             const membership::version_spread& versions) {
    schema::endpoint_list list;
    for (schema::endpoint_record& record : directory.records_since(0, now)) {
        record.clear_load();
        if (!versions.is_confirmed(record))
            record.set_unresponsive(true);
        *list.add_endpoints() = std::move(record);
    }
    return list.SerializeAsString();
}

std::size_t
decode_endpoints(membership::endpoint_directory& directory, const std::string& content, instant now,
                 const std::function<void(const schema::endpoint_record&)>& on_confirmed) {
    schema::endpoint_list list;
    if (!schema::parse_readable_endpoints(content, list))
        return 0;
    std::size_t restored = 0;
    for (schema::endpoint_record& record : *list.mutable_endpoints()) {
        if (membership::find_fault(record))
            continue;
        record.set_age_ms(static_cast<std::uint32_t>(restored_age.count()));
        directory.merge_remote(record, now);
        ++restored;
        if (!record.unresponsive())
            on_confirmed(record);
    }
    return restored;
}

} // namespace cassia::keeper

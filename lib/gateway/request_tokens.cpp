#include "cassia/gateway/request_tokens.h"

#include "cassia/routes/table.h"

#include <algorithm>

namespace cassia::gateway {

static bool can_hold(const schema::route_target& target, const policy::slot_table& slots,
                     std::uint64_t tokens) {
    return target.weight() > 0 && !slots.exceeds_memory(service_id(target.service()), tokens);
}

bool is_too_large(const schema::route& route, const policy::slot_table& slots,
                  std::uint64_t tokens) {
    return tokens > 0 && std::none_of(route.targets().begin(), route.targets().end(),
                                      [&](const schema::route_target& one) {
                                          return can_hold(one, slots, tokens);
                                      });
}

service_id choose_service(const schema::route& route, const policy::slot_table& slots,
                          std::uint64_t tokens, double random_fraction) {
    service_id drawn(routes::choose_target(route, random_fraction));
    if (!slots.exceeds_memory(drawn, tokens))
        return drawn;
    for (const schema::route_target& one : route.targets()) {
        if (can_hold(one, slots, tokens))
            return service_id(one.service());
    }
    return drawn;
}

} // namespace cassia::gateway

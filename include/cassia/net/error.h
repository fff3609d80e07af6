/// Errors of the net layer.
#pragma once

#include "cassia/base/outcome.h"

namespace cassia::net {

enum class errc {
    bad_address,     ///< not IP:PORT
    cannot_listen,   ///< the address is taken or not ours
    bad_secret,      ///< not a CURVE key
    cannot_connect,  ///< nothing was sent
    connection_lost, ///< broken after something may have been sent
    silent,          ///< no progress for too long
    cancelled,
};

using error = layer_error<errc>;

template <class T>
using result = outcome<T, error>;

} // namespace cassia::net

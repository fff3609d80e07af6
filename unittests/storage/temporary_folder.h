#pragma once

#include "cassia/storage/disk.h"

#include <glib/gstdio.h>

#include <cstdlib>
#include <string>

namespace cassia::storage {

/// A folder that is removed at the end of the test.
class temporary_folder {
public:
    temporary_folder() {
        char name[] = "/tmp/cassia-test-XXXXXX";
        path_ = mkdtemp(name);
    }
    ~temporary_folder() {
        for (const std::string& name : list_files(path_, ""))
            g_unlink((path_ + "/" + name).c_str());
        g_rmdir(path_.c_str());
    }
    const std::string& path() const { return path_; }

private:
    std::string path_;
};

} // namespace cassia::storage

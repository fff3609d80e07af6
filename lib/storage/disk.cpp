#include "cassia/storage/disk.h"

#include "cassia/base/file.h"

#include <fcntl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

namespace cassia::storage {

static int write_all_at(int file, std::string_view bytes, std::uint64_t offset) {
    std::size_t done = 0;
    while (done < bytes.size()) {
        const ssize_t count = pwrite(file, bytes.data() + done, bytes.size() - done,
                                     static_cast<off_t>(offset + done));
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return errno;
        done += static_cast<std::size_t>(count);
    }
    return 0;
}

static int sync_file(int file) {
    return fdatasync(file) == 0 ? 0 : errno;
}

disk_hooks system_disk() {
    return {write_all_at, sync_file};
}

error make_write_error(const std::string& path, int error_number) {
    const bool full = error_number == ENOSPC || error_number == EDQUOT;
    return {full ? errc::no_space : errc::cannot_write, path + ": " + std::strerror(error_number)};
}

static result<void> sync_folder(const disk_hooks& disk, const std::string& folder) {
    const int descriptor = open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0)
        return failure(make_write_error(folder, errno));
    const int error_number = disk.sync(descriptor);
    close(descriptor);
    if (error_number != 0)
        return failure(make_write_error(folder, error_number));
    return success();
}

result<void> write_file(const disk_hooks& disk, const std::string& folder, const std::string& name,
                        std::string_view content) {
    const std::string path = folder + "/" + name;
    const std::string temporary = path + ".tmp";
    const int descriptor = open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (descriptor < 0)
        return failure(make_write_error(temporary, errno));
    int error_number = disk.write_at(descriptor, content, 0);
    if (error_number == 0)
        error_number = disk.sync(descriptor);
    close(descriptor);
    if (error_number != 0)
        return failure(make_write_error(temporary, error_number));
    if (g_rename(temporary.c_str(), path.c_str()) != 0)
        return failure(make_write_error(path, errno));
    return sync_folder(disk, folder);
}

result<std::string> read_file(const std::string& path) {
    outcome<std::string, file_error> content = read_text_file(path);
    if (content)
        return std::move(content.value());
    const errc code =
        content.error().code == file_errc::missing ? errc::missing : errc::cannot_read;
    return failure(error{code, content.error().text});
}

result<void> make_folder(const disk_hooks& disk, const std::string& folder) {
    constexpr int owner_only = 0700;
    if (g_file_test(folder.c_str(), G_FILE_TEST_IS_DIR) != 0)
        return success();
    char* const name = g_path_get_dirname(folder.c_str());
    const std::string parent = name;
    g_free(name);
    result<void> parent_made = make_folder(disk, parent);
    if (!parent_made)
        return parent_made;
    if (g_mkdir(folder.c_str(), owner_only) != 0 && errno != EEXIST)
        return failure(error{errc::cannot_open, folder + ": " + std::strerror(errno)});
    return sync_folder(disk, parent);
}

std::vector<std::string> list_files(const std::string& folder, std::string_view prefix) {
    std::vector<std::string> names;
    GDir* directory = g_dir_open(folder.c_str(), 0, nullptr);
    if (directory == nullptr)
        return names;
    while (const char* name = g_dir_read_name(directory)) {
        if (std::string_view(name).substr(0, prefix.size()) == prefix)
            names.emplace_back(name);
    }
    g_dir_close(directory);
    std::sort(names.begin(), names.end());
    return names;
}

} // namespace cassia::storage

/// @file
/// A TOML table that knows its path in the file, reads fields of a known type and range, and rejects fields
/// that nobody asked for. Errors are ExperimentError with the field's dotted path.
#pragma once

#include <toml++/toml.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace ochregrade::lab {

class TomlTable {
public:
    /// `table` must outlive this.
    TomlTable(const toml::table& table, std::string path) : table_(table), path_(std::move(path)) {}

    std::string path_of(const std::string& key) const { return path_.empty() ? key : path_ + "." + key; }

    // Each reads one field into `value`, or leaves it as it is where the field is absent.
    void read(const std::string& key, bool& value);
    void read(const std::string& key, std::string& value);
    void read(const std::string& key, double& value, double low, double high);
    void read(const std::string& key, std::int64_t& value, std::int64_t low, std::int64_t high);
    void read(const std::string& key, int& value, int low, int high);
    /// A list of names, none of them empty.
    void read_names(const std::string& key, std::vector<std::string>& names);

    /// Calls `read_fields` with the table of this key, if there is one, and rejects fields it didn't read.
    void read_table(const std::string& key, const std::function<void(TomlTable&)>& read_fields);
    /// The same for each table of a list. Returns how many there are, or -1 where the key is absent.
    int read_tables(const std::string& key, const std::function<void(TomlTable&)>& read_fields);

    /// Rejects fields that were not read: a misspelt one would silently have its default.
    void reject_unknown_fields() const;

private:
    const toml::node* find(const std::string& key);
    const toml::array* find_array(const std::string& key);

    const toml::table& table_;
    std::string path_;
    std::set<std::string> known_fields_;
};

}  // namespace ochregrade::lab

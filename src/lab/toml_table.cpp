#include "lab/toml_table.hpp"

#include "lab/experiment.hpp"

namespace ochregrade::lab {

namespace {

std::string shortest(double number) {
    std::string text = std::to_string(number);
    while (text.back() == '0') text.pop_back();
    if (text.back() == '.') text.pop_back();
    return text;
}

ExperimentError out_of_range(const std::string& path, double low, double high) {
    return {path, "must lie from " + shortest(low) + " to " + shortest(high)};
}

std::string indexed(const std::string& path, std::size_t index) {
    return path + "[" + std::to_string(index) + "]";
}

}  // namespace

const toml::node* TomlTable::find(const std::string& key) {
    known_fields_.insert(key);
    return table_.get(key);
}

const toml::array* TomlTable::find_array(const std::string& key) {
    const toml::node* node = find(key);
    if (node != nullptr && !node->is_array()) throw ExperimentError(path_of(key), "must be a list");
    return node == nullptr ? nullptr : node->as_array();
}

void TomlTable::read(const std::string& key, bool& value) {
    const toml::node* node = find(key);
    if (node == nullptr) return;
    const auto flag = node->value_exact<bool>();
    if (!flag) throw ExperimentError(path_of(key), "must be true or false");
    value = *flag;
}

void TomlTable::read(const std::string& key, std::string& value) {
    const toml::node* node = find(key);
    if (node == nullptr) return;
    const auto text = node->value_exact<std::string>();
    if (!text) throw ExperimentError(path_of(key), "must be a string");
    value = *text;
}

void TomlTable::read(const std::string& key, double& value, double low, double high) {
    const toml::node* node = find(key);
    if (node == nullptr) return;
    const auto number = node->value<double>();
    if (!number || node->is_string()) throw ExperimentError(path_of(key), "must be a number");
    if (!(*number >= low && *number <= high)) throw out_of_range(path_of(key), low, high);
    value = *number;
}

void TomlTable::read(const std::string& key, std::int64_t& value, std::int64_t low, std::int64_t high) {
    const toml::node* node = find(key);
    if (node == nullptr) return;
    const auto number = node->value_exact<std::int64_t>();
    if (!number) throw ExperimentError(path_of(key), "must be an integer");
    if (*number < low || *number > high)
        throw out_of_range(path_of(key), static_cast<double>(low), static_cast<double>(high));
    value = *number;
}

void TomlTable::read(const std::string& key, int& value, int low, int high) {
    std::int64_t number = value;
    read(key, number, std::int64_t{low}, std::int64_t{high});
    value = static_cast<int>(number);
}

void TomlTable::read_names(const std::string& key, std::vector<std::string>& names) {
    const toml::array* list = find_array(key);
    if (list == nullptr) return;
    names.clear();
    for (std::size_t i = 0; i < list->size(); ++i) {
        const auto name = (*list)[i].value_exact<std::string>();
        if (!name || name->empty()) throw ExperimentError(indexed(path_of(key), i), "a name");
        names.push_back(*name);
    }
}

void TomlTable::read_table(const std::string& key, const std::function<void(TomlTable&)>& read_fields) {
    const toml::node* node = find(key);
    if (node == nullptr) return;
    if (!node->is_table()) throw ExperimentError(path_of(key), "must be a table");
    TomlTable table(*node->as_table(), path_of(key));
    read_fields(table);
    table.reject_unknown_fields();
}

int TomlTable::read_tables(const std::string& key, const std::function<void(TomlTable&)>& read_fields) {
    const toml::array* list = find_array(key);
    if (list == nullptr) return -1;
    for (std::size_t i = 0; i < list->size(); ++i) {
        const std::string path = indexed(path_of(key), i);
        const toml::table* fields = (*list)[i].as_table();
        if (fields == nullptr) throw ExperimentError(path, "must be a table");
        TomlTable table(*fields, path);
        read_fields(table);
        table.reject_unknown_fields();
    }
    return static_cast<int>(list->size());
}

void TomlTable::reject_unknown_fields() const {
    for (const auto& [key, value] : table_)
        if (known_fields_.count(std::string(key.str())) == 0)
            throw ExperimentError(path_of(std::string(key.str())), "unknown field");
}

}  // namespace ochregrade::lab

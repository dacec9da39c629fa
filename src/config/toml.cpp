// C interface of lav/toml.h on top of toml++, which is a C++ library.
#include "lav/toml.h"

#include <cstring>
#include <exception>
#include <string>
#include <toml++/toml.h>

struct toml_doc {
    toml::table root;
    std::string path;
};

namespace {

constexpr int64_t MS_PER_S = 1000;
constexpr int64_t MS_PER_MINUTE = 60000;

// Report an error in the value of `key`, at the line of `node` (nullptr: 0).
int
set_error(const toml_doc *doc, err *e, const toml::node *node, const char *key,
          const char *reason)
{
    int line = node ? (int)node->source().begin.line : 0;
    return ERR_SET_AT(e, ERR_INVALID, doc->path.c_str(), line, "%s: %s", key,
                      reason);
}

// Find the table at a dotted path; the empty path is the root table.
toml::table *
find_table(toml_doc *doc, const char *path)
{
    toml::table *table = &doc->root;
    std::string rest(path);
    while (!rest.empty() && table != nullptr) {
        size_t dot = rest.find('.');
        std::string head = rest.substr(0, dot);
        rest = dot == std::string::npos ? "" : rest.substr(dot + 1);
        table = (*table)[head].as_table();
    }
    return table;
}

// Parse a duration into milliseconds; a fraction of a millisecond is cut off.
bool
parse_duration(int64_t *out, const std::string &text)
{
    size_t digits = text.find_first_not_of("0123456789.");
    if (digits == 0 || digits == std::string::npos || digits > 9 ||
        text[0] == '.' || text[digits - 1] == '.' ||
        text.find('.') != text.rfind('.', digits)) {
        return false;
    }
    double number = std::stod(text.substr(0, digits));
    std::string unit = text.substr(digits);
    if (unit == "ms") {
        *out = (int64_t)number;
    }
    else if (unit == "s") {
        *out = (int64_t)(number * MS_PER_S);
    }
    else if (unit == "m") {
        *out = (int64_t)(number * MS_PER_MINUTE);
    }
    else {
        return false;
    }
    return true;
}

// Store an integer, or a duration in milliseconds, if it is in range.
int
read_integer(int64_t *out, const toml_doc *doc, const toml_field &f,
             const toml::node *node, int64_t value, err *e)
{
    if (value < f.min || value > f.max) {
        std::string reason = "out of range, " + std::to_string(f.min) +
                             " to " + std::to_string(f.max);
        reason += f.kind == TOML_DURATION ? " ms" : "";
        return set_error(doc, e, node, f.key, reason.c_str());
    }
    *out = value;
    return 0;
}

// Read a list of strings.
int
read_strings(toml_strings *out, const toml_doc *doc, const toml_field &f,
             const toml::node *node, err *e)
{
    const toml::array *array = node->as_array();
    if (array == nullptr) {
        return set_error(doc, e, node, f.key, "must be a list of strings");
    }
    if (array->size() > TOML_ITEMS_MAX) {
        return set_error(doc, e, node, f.key, "has too many items");
    }
    out->count = 0;
    for (const toml::node &item : *array) {
        auto text = item.value_exact<std::string>();
        if (!text || text->size() >= TOML_ITEM_SIZE) {
            return set_error(doc, e, &item, f.key, "must be a short string");
        }
        std::strcpy(out->items[out->count++], text->c_str());
    }
    return 0;
}

// Read a string as the index of the same one in the field's list.
int
read_enum(int *out, const toml_doc *doc, const toml_field &f,
          const toml::node *node, err *e)
{
    auto text = node->value_exact<std::string>();
    std::string allowed;
    for (int i = 0; f.names[i] != nullptr; i++) {
        if (text && *text == f.names[i]) {
            *out = i;
            return 0;
        }
        allowed += std::string(i ? ", " : "") + f.names[i];
    }
    return set_error(doc, e, node, f.key,
                     ("must be one of " + allowed).c_str());
}

// Read the value of a field into its member of the struct `out`.
int
read_field(char *out, const toml_doc *doc, const toml_field &f,
           const toml::node *node, err *e)
{
    void *member = out + f.offset;
    switch (f.kind) {
    case TOML_STRING: {
        auto text = node->value_exact<std::string>();
        if (!text || text->empty() || (int64_t)text->size() >= f.max) {
            return set_error(doc, e, node, f.key, "must be a short string");
        }
        std::strcpy((char *)member, text->c_str());
        return 0;
    }
    case TOML_BOOL: {
        auto value = node->value_exact<bool>();
        if (!value) {
            return set_error(doc, e, node, f.key, "must be true or false");
        }
        *(bool *)member = *value;
        return 0;
    }
    case TOML_INT: {
        auto value = node->value_exact<int64_t>();
        if (!value) {
            return set_error(doc, e, node, f.key, "must be an integer");
        }
        return read_integer((int64_t *)member, doc, f, node, *value, e);
    }
    case TOML_REAL: {
        auto value = node->value<double>();
        if (!value || *value < (double)f.min || *value > (double)f.max) {
            return set_error(doc, e, node, f.key, "must be a number in range");
        }
        *(double *)member = *value;
        return 0;
    }
    case TOML_DURATION: {
        auto text = node->value_exact<std::string>();
        int64_t value = 0;
        if (!text || !parse_duration(&value, *text)) {
            return set_error(doc, e, node, f.key,
                             "must be a duration such as \"250ms\" or \"3s\"");
        }
        return read_integer((int64_t *)member, doc, f, node, value, e);
    }
    case TOML_ENUM:
        return read_enum((int *)member, doc, f, node, e);
    case TOML_STRINGS:
        return read_strings((toml_strings *)member, doc, f, node, e);
    }
    return ERR_INVALID;
}

// Find the descriptor of a key; nullptr if there is none.
const toml_field *
find_field(const toml_field *fields, size_t count, std::string_view key)
{
    for (size_t i = 0; i < count; i++) {
        if (key == fields[i].key) {
            return &fields[i];
        }
    }
    return nullptr;
}

} // namespace

// Parse a TOML document; `path` is only named in errors.  ERR_INVALID: not
// TOML.  ERR_NO_MEMORY: any other exception of the library.
extern "C" int
toml_parse(toml_doc **out, const char *text, const char *path, err *e)
{
    try {
        *out = new toml_doc{toml::parse(std::string_view(text)), path};
        return 0;
    } catch (const toml::parse_error &error) {
        return ERR_SET_AT(e, ERR_INVALID, path, (int)error.source().begin.line,
                          "%s", std::string(error.description()).c_str());
    } catch (const std::exception &error) {
        return ERR_SET_AT(e, ERR_NO_MEMORY, path, 0, "%s", error.what());
    }
}

// Free a document; NULL is ignored.
extern "C" void
toml_free(toml_doc *doc)
{
    delete doc;
}

// ERR_INVALID if any top-level key is not a table or is not listed in the
// NULL-terminated list `tables`.
extern "C" int
toml_check_tables(toml_doc *doc, const char *const *tables, err *e)
{
    for (auto &&[key, node] : doc->root) {
        bool known = false;
        for (size_t i = 0; tables[i] != nullptr; i++) {
            known = known || key.str() == tables[i];
        }
        std::string name(key.str());
        if (!known) {
            return set_error(doc, e, &node, name.c_str(), "unknown key");
        }
        if (!node.is_table()) {
            return set_error(doc, e, &node, name.c_str(), "must be a table");
        }
    }
    return 0;
}

// Read a table into the struct `out`.  A missing table counts as an empty one.
// On ERR_INVALID some of the members may have been set.
extern "C" int
toml_read_table(void *out, toml_doc *doc, const char *table,
                const toml_field *fields, size_t count, err *e)
{
    toml::table empty;
    toml::table *found = find_table(doc, table);
    toml::table &source = found ? *found : empty;
    for (auto &&[key, node] : source) {
        const toml_field *f = find_field(fields, count, key.str());
        if (f == nullptr) {
            std::string name(key.str());
            return set_error(doc, e, &node, name.c_str(), "unknown key");
        }
        int result = read_field((char *)out, doc, *f, &node, e);
        if (result < 0) {
            return result;
        }
    }
    for (size_t i = 0; i < count; i++) {
        if (fields[i].required && !source.contains(fields[i].key)) {
            return set_error(doc, e, found, fields[i].key, "missing key");
        }
    }
    return 0;
}

// Call `callback` for each sub-table of `table`, in the order of their names.
// Stops at the first negative result and returns it.
extern "C" int
toml_each_table(toml_doc *doc, const char *table, toml_each_table_cb callback,
                err *e, void *payload)
{
    toml::table *found = find_table(doc, table);
    if (found == nullptr) {
        return 0;
    }
    for (auto &&[key, node] : *found) {
        std::string name(key.str());
        if (!node.is_table()) {
            return set_error(doc, e, &node, name.c_str(), "must be a table");
        }
        int result =
            callback(name.c_str(), (int)node.source().begin.line, e, payload);
        if (result < 0) {
            return result;
        }
    }
    return 0;
}

// Line of a key in a table, or of the table if it lacks the key; 0 if there
// is no such table.
extern "C" int
toml_find_line(toml_doc *doc, const char *table, const char *key)
{
    toml::table *found = find_table(doc, table);
    if (found == nullptr) {
        return 0;
    }
    toml::node *node = found->get(key);
    return (int)(node ? node : found)->source().begin.line;
}

#pragma once

#include <string>
#include <string_view>

namespace rattanrill::net {

// The grammar of the parts of an HTTP/1.1 head (RFC 9112). What these functions accept can't end
// the part that it is written to, so that a head has the fields of its sender and no others.

/// Whether \a text may be the target of a request in origin form: a slash, then no space and no
/// control character.
bool isValidTarget(std::string_view text);
/// Whether \a text may be the method of a request or the name of a header field: a token.
bool isValidToken(std::string_view text);
/// Whether \a text may be the value of a header field: no control character but the tab.
bool isValidFieldValue(std::string_view text);
/// Whether \a text may be the value of a header field by which something is recognized: it is not
/// empty and has no space or tab at its ends, which a receiver removes.
bool isValidIdentifier(std::string_view text);
/// Returns the beginning of \a text, 64 bytes at most, in quotation marks and escaped, for the
/// detail of a failure.
std::string quotedExcerpt(std::string_view text);

} // namespace rattanrill::net

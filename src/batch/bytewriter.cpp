#include "bytewriter.h"

namespace rattanrill::batch {

void ByteWriter::number(std::uint64_t value)
{
    while (value >= 0x80) {
        m_bytes += static_cast<char>(value | 0x80);
        value >>= 7;
    }
    m_bytes += static_cast<char>(value);
}

void ByteWriter::signedNumber(std::int64_t value)
{
    const std::uint64_t sign = value < 0 ? ~std::uint64_t{0} : 0;
    number((static_cast<std::uint64_t>(value) << 1) ^ sign);
}

void ByteWriter::text(std::string_view text)
{
    number(text.size());
    m_bytes.append(text);
}

} // namespace rattanrill::batch

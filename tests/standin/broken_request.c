#include "broken_request.h"

#define PART(text)                                                            \
    {                                                                         \
        text, sizeof(text) - 1                                                \
    }
#define TABLE(name, list)                                                     \
    {                                                                         \
        name, list, sizeof(list) / sizeof((list)[0])                          \
    }

#define POST "POST " BROKEN_REQUEST_PATH
#define LINE POST " HTTP/1.1\r\n"
#define LENGTH "Content-Length: 2\r\n\r\nok"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define CHUNKS CHUNKED "2\r\nok\r\n0\r\n\r\n"

#define START_STATUS(name, start, status)                                     \
    {                                                                         \
        name, PART(start), PART(LENGTH), status                               \
    }
#define START(name, start) START_STATUS(name, start, 400)
#define REST_STATUS(name, rest, status)                                       \
    {                                                                         \
        name, PART(LINE), PART(rest), status                                  \
    }
#define REST(name, rest) REST_STATUS(name, rest, 400)

static const broken_request line_cases[] = {
    START("no version", POST "\r\n"),
    START("no target", "POST HTTP/1.1\r\n"),
    START("nothing for the target", "POST  HTTP/1.1\r\n"),
    START("method only", "POST\r\n"),
    START("version 0.9", POST " HTTP/0.9\r\n"),
    START("version 1.2", POST " HTTP/1.2\r\n"),
    START("version 1.9", POST " HTTP/1.9\r\n"),
    START("version 1.11", POST " HTTP/1.11\r\n"),
    START("version 11.1", POST " HTTP/11.1\r\n"),
    START("version 2.0", POST " HTTP/2.0\r\n"),
    START("version 3.1", POST " HTTP/3.1\r\n"),
    START("no minor version", POST " HTTP/1\r\n"),
    START("comma in the version", POST " HTTP/1,1\r\n"),
    START("letter in the version", POST " HTTP/1.x\r\n"),
    START("lower case", POST " http/1.1\r\n"),
    START("another protocol", POST " ICY/1.1\r\n"),
    START("preface of HTTP/2", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"),
    START("two blanks after the method",
          "POST  " BROKEN_REQUEST_PATH " HTTP/1.1\r\n"),
    START("two blanks after the target", POST "  HTTP/1.1\r\n"),
    START("blank after the version", POST " HTTP/1.1 \r\n"),
    START("text after the version", POST " HTTP/1.1 x\r\n"),
    START("tab after the method",
          "POST\t" BROKEN_REQUEST_PATH " HTTP/1.1\r\n"),
    START("tab after the target", POST "\tHTTP/1.1\r\n"),
    START("blank in the target", POST " x HTTP/1.1\r\n"),
    START("tab in the target", POST "\tx HTTP/1.1\r\n"),
    START("form feed in the target", POST "\fx HTTP/1.1\r\n"),
    START("control byte in the target", POST "\1 HTTP/1.1\r\n"),
    START("NUL in the target", POST "\0 HTTP/1.1\r\n"),
    START("DEL in the target", POST "\177 HTTP/1.1\r\n"),
    START("CR in the target", POST "\rx HTTP/1.1\r\n"),
    START("LF in the target", POST "\nx HTTP/1.1\r\n"),
    START("blank first", " " LINE),
    START("tab first", "\t" LINE),
    START("control byte first", "\1" LINE),
    START("NUL first", "\0" LINE),
    START("control byte in the method",
          "PO\1ST " BROKEN_REQUEST_PATH " HTTP/1.1\r\n"),
    START("colon in the method", "PO:T " BROKEN_REQUEST_PATH " HTTP/1.1\r\n"),
    START("CR alone ends the line", POST " HTTP/1.1\r"),
    START("a byte between CR and LF", POST " HTTP/1.1\rX\n"),
    START("a response", "HTTP/1.1 200 OK\r\n"),
    START("no text", "\1\2\3 not HTTP\r\n"),
    START("a handshake of TLS", "\x16\3\1\1\4\1\1\1\374\3\3"),
    START_STATUS("unknown method", "BREW " BROKEN_REQUEST_PATH " HTTP/1.1\r\n",
                 501),
    START_STATUS("method in lower case",
                 "post " BROKEN_REQUEST_PATH " HTTP/1.1\r\n", 501),
    START_STATUS("longer method", "POSTS " BROKEN_REQUEST_PATH " HTTP/1.1\r\n",
                 501),
    START_STATUS("shorter method", "POS " BROKEN_REQUEST_PATH " HTTP/1.1\r\n",
                 501),
};
const broken_request_table broken_request_lines = TABLE("lines", line_cases);

static const broken_request field_cases[] = {
    REST("blank in a name", "X Odd: v\r\n" LENGTH),
    REST("blank after a name", "X-Odd : v\r\n" LENGTH),
    REST("tab in a name", "X\tOdd: v\r\n" LENGTH),
    REST("tab after a name", "X-Odd\t: v\r\n" LENGTH),
    REST("control byte in a name", "X\1Odd: v\r\n" LENGTH),
    REST("control byte after a name", "X-Odd\1: v\r\n" LENGTH),
    REST("control byte before a name", "\1X-Odd: v\r\n" LENGTH),
    REST("NUL in a name", "X\0Odd: v\r\n" LENGTH),
    REST("DEL in a name", "X\177Odd: v\r\n" LENGTH),
    REST("CR in a name", "X\rOdd: v\r\n" LENGTH),
    REST("LF in a name", "X\nOdd: v\r\n" LENGTH),
    REST("a name outside ASCII", "X\xe4Odd: v\r\n" LENGTH),
    REST("a name in quotes", "\"X-Odd\": v\r\n" LENGTH),
    REST("a name with a bracket", "X(Odd): v\r\n" LENGTH),
    REST("no name", ": v\r\n" LENGTH),
    REST("no colon", "X-Odd\r\n" LENGTH),
    REST("blank after the name of the length", "Content-Length : 2\r\n\r\nok"),
    REST("tab after the name of the length", "Content-Length\t: 2\r\n\r\nok"),
    REST("blank in the name of the length", "Content- Length: 2\r\n\r\nok"),
    REST("blank for the hyphen of the length", "Content Length: 2\r\n\r\nok"),
    REST("control byte in the name of the length",
         "Content\1Length: 2\r\n\r\nok"),
    REST("blank after the name of the coding",
         "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
    REST("tab after the name of the coding",
         "Transfer-Encoding\t: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
    REST("blank in the name of the coding",
         "Transfer- Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
    REST("control byte in the name of the coding",
         "Transfer-Encoding\v: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
    REST("control byte in a value", "X-Odd: a\1b\r\n" LENGTH),
    REST("control byte first in a value", "X-Odd: \1b\r\n" LENGTH),
    REST("NUL first in a value", "X-Odd: \0b\r\n" LENGTH),
    REST("NUL in a value", "X-Odd: a\0b\r\n" LENGTH),
    REST("DEL in a value", "X-Odd: a\177\r\n" LENGTH),
    REST("CR in a value", "X-Odd: a\rb\r\n" LENGTH),
    REST("CR first in a value", "X-Odd:\rX-B: b\r\n" LENGTH),
    REST("CR alone ends the head", "Content-Length: 2\r\n\rXok"),
    REST("folded line", "X-Odd: a\r\n b\r\n" LENGTH),
    REST("folded line with a tab", "X-Odd: a\r\n\tb\r\n" LENGTH),
    REST("folded line, nothing before", "X-Odd:\r\n b\r\n" LENGTH),
    REST("folded line of blanks", "X-Odd: a\r\n \r\n" LENGTH),
    REST("folded length", "Content-Length:\r\n 2\r\n\r\nok"),
    REST("length in a folded line",
         "X-Odd: a\r\n Content-Length: 2\r\n\r\nok"),
    REST("folded coding",
         "Transfer-Encoding:\r\n chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
    START("blank in the first name", LINE "X Odd: v\r\n"),
    START("blank before the first name", LINE " X-Odd: v\r\n"),
    START("control byte in the first value", LINE "X-Odd: \1\r\n"),
};
const broken_request_table broken_request_fields =
    TABLE("fields", field_cases);

static const broken_request framing_cases[] = {
    REST("length and chunks", "Content-Length: 2\r\n" CHUNKS),
    REST("chunks and length",
         "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n"
         "2\r\nok\r\n0\r\n\r\n"),
    REST("length and another coding",
         "Content-Length: 2\r\nTransfer-Encoding: identity\r\n\r\nok"),
    REST("two lengths", "Content-Length: 2\r\nContent-Length: 1\r\n\r\nok"),
    REST("the same length twice",
         "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok"),
    REST("no length in the field", "Content-Length:\r\n\r\nok"),
    REST("blanks for the length", "Content-Length: \t \r\n\r\nok"),
    REST("length with a sign", "Content-Length: +2\r\n\r\nok"),
    REST("negative length", "Content-Length: -2\r\n\r\nok"),
    REST("length in hexadecimal", "Content-Length: 0x2\r\n\r\nok"),
    REST("length with a fraction", "Content-Length: 2.0\r\n\r\nok"),
    REST("length in quotes", "Content-Length: \"2\"\r\n\r\nok"),
    REST("list of lengths", "Content-Length: 2, 2\r\n\r\nok"),
    REST("two numbers", "Content-Length: 2 2\r\n\r\nok"),
    REST("length over 63 bits",
         "Content-Length: 9223372036854775808\r\n\r\nok"),
    REST("length over 63 bits, odd",
         "Content-Length: 9223372036854775810\r\n\r\nok"),
    REST("length of nearly 64 bits",
         "Content-Length: 18446744073709551600\r\n\r\nok"),
    REST("length of 64 bits",
         "Content-Length: 18446744073709551615\r\n\r\nok"),
    REST("length over 64 bits",
         "Content-Length: 18446744073709551618\r\n\r\nok"),
    {"chunks of HTTP/1.0", PART(POST " HTTP/1.0\r\n"), PART(CHUNKS), 400},
    REST_STATUS("another coding", "Transfer-Encoding: gzip\r\n\r\nok", 501),
    REST_STATUS("identity", "Transfer-Encoding: identity\r\n\r\nok", 501),
    REST_STATUS("another coding before chunks",
                "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                501),
    REST_STATUS("another coding after chunks",
                "Transfer-Encoding: chunked, gzip\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                501),
    REST_STATUS("another coding in a field of its own",
                "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n\r\n"
                "2\r\nok\r\n0\r\n\r\n",
                501),
    REST_STATUS(
        "chunked twice",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"
        "2\r\nok\r\n0\r\n\r\n",
        501),
    REST_STATUS("coding of a similar name",
                "Transfer-Encoding: xchunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                501),
    REST_STATUS("coding with a parameter",
                "Transfer-Encoding: chunked;a=b\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                501),
    REST_STATUS("coding in quotes",
                "Transfer-Encoding: \"chunked\"\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                501),
    REST_STATUS("coding without a name", "Transfer-Encoding:\r\n\r\nok", 501),
};
const broken_request_table broken_request_framing =
    TABLE("framing", framing_cases);

/* The next bytes are those of another request. */
static const broken_request chunk_cases[] = {
    REST("no line end after a chunk", CHUNKED "2\r\nokXX0\r\n\r\n"),
    REST("no CR after a chunk", CHUNKED "2\r\nok\n\n0\r\n\r\n"),
    REST("no LF after a chunk", CHUNKED "2\r\nok\rX0\r\n\r\n"),
    REST("chunk longer than its size", CHUNKED "2\r\nok0\r\n\r\n"),
    REST("chunk shorter than its size", CHUNKED "3\r\nok\r\n0\r\n\r\n"),
    REST("no LF after a size", CHUNKED "2\rXok\r\n0\r\n\r\n"),
    REST("no LF after the last size", CHUNKED "2\r\nok\r\n0\rX\r\n"),
    REST("LF alone after a size", CHUNKED "2\nok\r\n0\r\n\r\n"),
    REST("LF alone after the last size", CHUNKED "2\r\nok\r\n0\n\r\n"),
    REST("no size", CHUNKED "\r\nok\r\n0\r\n\r\n"),
    REST("extension without a size", CHUNKED ";a\r\nok\r\n0\r\n\r\n"),
    REST("blank before a size", CHUNKED " 2\r\nok\r\n0\r\n\r\n"),
    REST("size with a sign", CHUNKED "+2\r\nok\r\n0\r\n\r\n"),
    REST("negative size", CHUNKED "2\r\nok\r\n-0\r\n\r\n"),
    REST("size with a prefix", CHUNKED "0x2\r\nok\r\n0\r\n\r\n"),
    REST("size with a letter", CHUNKED "2g\r\nok\r\n0\r\n\r\n"),
    REST("two sizes", CHUNKED "2 2\r\nok\r\n0\r\n\r\n"),
    REST("text after a size", CHUNKED "2 x\r\nok\r\n0\r\n\r\n"),
    REST("size over 63 bits", CHUNKED "8000000000000002\r\nok\r\n0\r\n\r\n"),
    REST("size over 64 bits", CHUNKED "10000000000000002\r\nok\r\n0\r\n\r\n"),
    REST("control byte after a size", CHUNKED "2\1\r\nok\r\n0\r\n\r\n"),
    REST("control byte in an extension", CHUNKED "2;\1\r\nok\r\n0\r\n\r\n"),
    REST("NUL in an extension", CHUNKED "2;\0\r\nok\r\n0\r\n\r\n"),
    REST("LF in an extension", CHUNKED "2;a\nb\r\nok\r\n0\r\n\r\n"),
    REST("CR in an extension", CHUNKED "2;a\rbok\r\n0\r\n\r\n"),
    REST("control byte in the last extension",
         CHUNKED "2\r\nok\r\n0;\1\r\n\r\n"),
    REST("no last chunk", CHUNKED "2\r\nok\r\n"),
    REST("no empty line after the last chunk", CHUNKED "2\r\nok\r\n0\r\n"),
    REST("blank in the name of a trailer field",
         CHUNKED "2\r\nok\r\n0\r\nX Odd: v\r\n\r\n"),
    REST("blank after the name of a trailer field",
         CHUNKED "2\r\nok\r\n0\r\nX-Odd : v\r\n\r\n"),
    REST("control byte in the name of a trailer field",
         CHUNKED "2\r\nok\r\n0\r\nX\1Odd: v\r\n\r\n"),
    REST("control byte first in the value of a trailer field",
         CHUNKED "2\r\nok\r\n0\r\nX-Odd: \1\r\n\r\n"),
    REST("folded trailer field",
         CHUNKED "2\r\nok\r\n0\r\nX-Odd: v\r\n w\r\n\r\n"),
    REST("CR in the value of a trailer field",
         CHUNKED "2\r\nok\r\n0\r\nX-Odd:\rX\r\n\r\n"),
    REST("CR alone ends the trailer", CHUNKED "2\r\nok\r\n0\r\n\rX"),
};
const broken_request_table broken_request_chunks =
    TABLE("chunks", chunk_cases);

static const broken_request valid_cases[] = {
    REST_STATUS("length", LENGTH, 0),
    REST_STATUS("chunks", CHUNKS, 0),
    START_STATUS("LF alone ends the line", POST " HTTP/1.1\n", 0),
    START_STATUS("empty lines first", "\r\n\r\n" LINE, 0),
    {"LF alone ends each line", PART(POST " HTTP/1.1\n"),
     PART("Content-Length: 2\n\nok"), 0},
    START_STATUS("query", POST "?a=%20b&c=;d#e HTTP/1.1\r\n", 0),
    START_STATUS("bytes outside ASCII in the target",
                 POST "?\xc3\xa4 HTTP/1.1\r\n", 0),
    REST_STATUS("each character of a name",
                "!#$%&'*+-.^_`|~09azAZ: v\r\n" LENGTH, 0),
    REST_STATUS("text in a value", "X-Text: \ta \xe4\xff\t\"{}\" \r\n" LENGTH,
                0),
    REST_STATUS("empty value", "X-Empty:\r\n" LENGTH, 0),
    REST_STATUS("blanks only", "X-Blank: \t \r\n" LENGTH, 0),
    REST_STATUS("length in zeros", "Content-Length: 0002\r\n\r\nok", 0),
    REST_STATUS("blanks about the length", "Content-Length:  2 \r\n\r\nok", 0),
    REST_STATUS("name of the length in lower case",
                "content-length: 2\r\n\r\nok", 0),
    REST_STATUS("coding in upper case",
                "Transfer-Encoding: CHUNKED\r\n\r\n2\r\nok\r\n0\r\n\r\n", 0),
    REST_STATUS("blanks about the coding",
                "Transfer-Encoding:  chunked \r\n\r\n2\r\nok\r\n0\r\n\r\n", 0),
    REST_STATUS("size in upper case and zeros",
                CHUNKED "0000002\r\nok\r\n000\r\n\r\n", 0),
    REST_STATUS("two chunks", CHUNKED "1\r\no\r\n1\r\nk\r\n0\r\n\r\n", 0),
    REST_STATUS("chunk extensions",
                CHUNKED "2;a=b;c=\"d e\"\r\nok\r\n0;last\r\n\r\n", 0),
    REST_STATUS("blank before an extension", CHUNKED "2 ;a\r\nok\r\n0\r\n\r\n",
                0),
    REST_STATUS("blank after a size", CHUNKED "2 \r\nok\r\n0\r\n\r\n", 0),
    REST_STATUS("trailer fields",
                CHUNKED "2\r\nok\r\n0\r\nX-Sum: 1\r\nX-Empty:\r\n\r\n", 0),
};
const broken_request_table valid_requests = TABLE("valid", valid_cases);

const broken_request_table
    *const broken_request_tables[BROKEN_REQUEST_TABLE_COUNT] = {
        &broken_request_lines, &broken_request_fields, &broken_request_framing,
        &broken_request_chunks};

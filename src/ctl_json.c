#include "ctl.h"

#include <stdio.h>

const char *
ctl_text (struct json_object *object, const char *name)
{
  const char *text
      = json_object_get_string (json_object_object_get (object, name));

  return text != NULL ? text : "";
}

long long
ctl_number (struct json_object *object, const char *name)
{
  return json_object_get_int64 (json_object_object_get (object, name));
}

void
ctl_print_json (struct json_object *root)
{
  puts (json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
}

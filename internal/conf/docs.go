package conf

import (
	"fmt"
	"strings"
)

// Markdown renders a schema as the tables of a documentation page.
func Markdown(schema []Section) string {
	var b strings.Builder
	for _, s := range schema {
		title := s.Kind
		if s.Named {
			title += " NAME"
		}
		fmt.Fprintf(&b, "### [%s]\n\n%s\n\n| key | value | default | meaning |\n| --- | --- | --- | --- |\n", title, s.Description)
		for _, k := range s.Keys {
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", k.Name, k.allowedText(), k.defaultText(), k.Description)
		}
		b.WriteString("\n")
	}
	return b.String()
}

func (k Key) defaultText() string {
	switch {
	case k.Required:
		return "required"
	case k.Default == "":
		return "none"
	}
	return "`" + k.Default + "`"
}
